package org.limpetring.fleet.role;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.limpetring.base.DaemonId;
import org.limpetring.fleet.Role;
import org.limpetring.fleet.roster.RosterRecord;

/**
 * Immutable snapshot that answers on the request path whether this daemon may act in a role.
 *
 * <p>An old snapshot is safe to use: what it permits ends by the clock.
 *
 * @param isReleased whether this daemon has given up all roles for good
 * @param confirmedAtMs latest time by which no newer epoch had been learnt by the platform or by
 *     most of the roster
 * @param platformAtMs latest time by which the platform held no newer epoch
 * @param unretiredEpochs older epochs under which another daemon may still act
 */
public record RoleView(
    DaemonId self,
    boolean isReleased,
    RosterRecord record,
    RoleSettings settings,
    long confirmedAtMs,
    long platformAtMs,
    List<UnretiredEpoch> unretiredEpochs) {

  /** Copies the list. */
  public RoleView {
    unretiredEpochs = List.copyOf(unretiredEpochs);
  }

  /**
   * Older epoch that may still have holders.
   *
   * @param members daemons of that epoch
   * @param left those of them that have stopped acting by themselves
   * @param endAtMs when nobody acts under the epoch any more, as far as is known
   */
  public record UnretiredEpoch(
      long epoch, Set<DaemonId> members, Set<DaemonId> left, long endAtMs) {
    /** Copies the sets. */
    public UnretiredEpoch {
      members = Set.copyOf(members);
      left = Set.copyOf(left);
    }
  }

  /** Whether this daemon may act in {@code role} at {@code nowMs}; to be asked before each act. */
  public boolean mayAct(Role role, long nowMs) {
    if (isReleased) {
      return false;
    }
    List<DaemonId> holders = role.holders(record.roster());
    if (!holders.contains(self)) {
      return false;
    }
    return !role.kind().isExclusive() || (isConfirmed(nowMs) && isAlone(role, holders, nowMs));
  }

  private boolean isConfirmed(long nowMs) {
    return nowMs - confirmedAtMs <= settings.confirmationMs()
        && nowMs - platformAtMs <= settings.outageMs();
  }

  private boolean isAlone(Role role, List<DaemonId> holders, long nowMs) {
    for (UnretiredEpoch wait : unretiredEpochs) {
      if (nowMs >= wait.endAtMs()) {
        continue;
      }
      Set<DaemonId> others = new HashSet<>(role.holders(wait.members()));
      others.removeAll(wait.left());
      others.removeAll(holders);
      if (!others.isEmpty()) {
        return false;
      }
    }
    return true;
  }
}
