package org.limpetring.fleet.node;

import java.util.List;
import java.util.Optional;
import org.limpetring.base.DaemonId;
import org.limpetring.base.ResultCode;
import org.limpetring.fleet.Role;
import org.limpetring.fleet.Roster;
import org.limpetring.fleet.role.RoleView;
import org.limpetring.tables.AcceptedConfig;
import org.limpetring.tables.ValidationError;

/**
 * Immutable snapshot of what this daemon knows of the fleet, read on the path of requests.
 *
 * <p>An old snapshot is safe to use: it turns stale by the clock.
 *
 * @param self id of this daemon; an evicted daemon takes a new one
 * @param currentAtMs latest time by which this daemon cannot have missed a change
 * @param staleAfterMs age of {@code currentAtMs} from which on new work is refused
 * @param isLeaving whether this daemon is about to stop
 * @param mistakes why tables were left out at the last join made here
 */
public record FleetView(
    DaemonId self,
    Roster roster,
    AcceptedConfig config,
    RoleView roles,
    long currentAtMs,
    long staleAfterMs,
    boolean isLeaving,
    List<ValidationError> mistakes) {

  /** Copies the list. */
  public FleetView {
    mistakes = List.copyOf(mistakes);
  }

  /** Whether this daemon could have learnt of a change a short time ago. */
  public boolean isFresh(long nowMs) {
    return nowMs - currentAtMs <= staleAfterMs;
  }

  /** Whether this daemon may take new work. */
  public boolean isReady(long nowMs) {
    return refusal(nowMs).isEmpty();
  }

  /** Why new work must be refused at {@code nowMs}; empty if it may be taken. */
  public Optional<ResultCode> refusal(long nowMs) {
    if (isLeaving) {
      return Optional.of(ResultCode.STOPPING);
    }
    if (config.generation() == 0) {
      return Optional.of(ResultCode.NOT_READY);
    }
    return isFresh(nowMs) ? Optional.empty() : Optional.of(ResultCode.STALE_DAEMON);
  }

  /** Whether this daemon may act in {@code role}; to be asked right before each act. */
  public boolean mayAct(Role role, long nowMs) {
    return roles.mayAct(role, nowMs);
  }
}
