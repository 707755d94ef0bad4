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
 * Immutable snapshot of this daemon's knowledge of the fleet, used on the request path.
 *
 * <p>An old snapshot is safe to use, because it becomes stale with time.
 *
 * @param self id of this daemon; an evicted daemon takes a new one
 * @param currentAtMs latest time up to which this daemon cannot have missed a change
 * @param staleAfterMs age of {@code currentAtMs} above which new work is rejected
 * @param isLeaving whether this daemon is shutting down
 * @param errors errors in the tables found by the last join on this daemon
 */
public record FleetView(
    DaemonId self,
    Roster roster,
    AcceptedConfig config,
    RoleView roles,
    long currentAtMs,
    long staleAfterMs,
    boolean isLeaving,
    List<ValidationError> errors) {

  /** Copies the list. */
  public FleetView {
    errors = List.copyOf(errors);
  }

  /** Whether this daemon's knowledge is recent enough to accept new work. */
  public boolean isFresh(long nowMs) {
    return nowMs - currentAtMs <= staleAfterMs;
  }

  /** Whether this daemon may accept new work. */
  public boolean isReady(long nowMs) {
    return refusal(nowMs).isEmpty();
  }

  /** Reason to reject new work at {@code nowMs}; empty if it may be accepted. */
  public Optional<ResultCode> refusal(long nowMs) {
    if (isLeaving) {
      return Optional.of(ResultCode.STOPPING);
    }
    if (config.generation() == 0) {
      return Optional.of(ResultCode.NOT_READY);
    }
    return isFresh(nowMs) ? Optional.empty() : Optional.of(ResultCode.STALE_DAEMON);
  }

  /** Whether this daemon may act in {@code role}; check it right before each action. */
  public boolean mayAct(Role role, long nowMs) {
    return roles.mayAct(role, nowMs);
  }
}
