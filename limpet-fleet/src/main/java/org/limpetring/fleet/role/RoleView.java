package org.limpetring.fleet.role;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.limpetring.base.DaemonId;
import org.limpetring.fleet.Role;
import org.limpetring.fleet.roster.RosterRecord;

/**
 * Immutable snapshot for the request path that decides whether this daemon may act in a role.
 *
 * <p>An old snapshot is safe to use, because its permissions expire with time.
 *
 * @param isReleased whether this daemon has permanently released all roles
 * @param confirmedAtMs latest time at which the platform or a majority of the roster had no newer
 *     epoch
 * @param platformConfirmedAtMs latest time at which the platform held no newer epoch
 * @param unretiredEpochs older epochs in which another daemon may still act
 */
public record RoleView(
    DaemonId self,
    boolean isReleased,
    RosterRecord record,
    RoleSettings settings,
    long confirmedAtMs,
    long platformConfirmedAtMs,
    List<UnretiredEpoch> unretiredEpochs) {

  /** Copies the list. */
  public RoleView {
    unretiredEpochs = List.copyOf(unretiredEpochs);
  }

  /**
   * Older epoch whose holders may still act.
   *
   * @param members daemons in that epoch
   * @param left members that left voluntarily and have stopped acting
   * @param endAtMs time from which no daemon acts under the epoch, as far as known
   */
  public record UnretiredEpoch(
      long epoch, Set<DaemonId> members, Set<DaemonId> left, long endAtMs) {
    /** Copies the sets. */
    public UnretiredEpoch {
      members = Set.copyOf(members);
      left = Set.copyOf(left);
    }
  }

  /** Whether this daemon may act in {@code role} at {@code nowMs}; check it before each action. */
  public boolean mayAct(Role role, long nowMs) {
    if (isReleased) {
      return false;
    }
    List<DaemonId> holders = role.holders(record.roster());
    if (!holders.contains(self)) {
      return false;
    }
    return !role.kind().isExclusive()
        || (hasLease(nowMs) && hasNoOlderHolder(role, holders, nowMs));
  }

  private boolean hasLease(long nowMs) {
    return nowMs - confirmedAtMs <= settings.leaseMs()
        && nowMs - platformConfirmedAtMs <= settings.maxOutageMs();
  }

  private boolean hasNoOlderHolder(Role role, List<DaemonId> holders, long nowMs) {
    for (UnretiredEpoch unretired : unretiredEpochs) {
      if (nowMs >= unretired.endAtMs()) {
        continue;
      }
      Set<DaemonId> others = new HashSet<>(role.holders(unretired.members()));
      others.removeAll(unretired.left());
      others.removeAll(holders);
      if (!others.isEmpty()) {
        return false;
      }
    }
    return true;
  }
}
