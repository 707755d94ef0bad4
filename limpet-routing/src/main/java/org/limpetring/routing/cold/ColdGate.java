package org.limpetring.routing.cold;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.limpetring.base.DaemonId;
import org.limpetring.base.GroupId;
import org.limpetring.base.Invariant;
import org.limpetring.base.ResultCode;
import org.limpetring.fleet.Roster;
import org.limpetring.groups.ServingGroup;

/**
 * Decides at a cold sender which requests may occupy a cold group.
 *
 * <p>The budget of a group is a number of slots; slot {@code i} belongs to the sender of rank
 * {@code i mod 2}. A slot that changed its sender rests until no permit of the earlier one can be
 * in use. Within its slots a sender opens one at first and one more after each success (slow start,
 * Jacobson, "Congestion avoidance and control", SIGCOMM 1988), and falls back to one on a failure.
 * Safe for use by many threads.
 */
public final class ColdGate {

  private static final int SENDERS = 2;

  /** Slots of one group at one incarnation. */
  private static final class Slots {
    final String incarnation;
    final Map<Integer, Held> held = new HashMap<>();
    int rampLimit = 1;

    Slots(String incarnation) {
      this.incarnation = incarnation;
    }
  }

  private record Held(long serial, long untilMs) {}

  private final ColdSettings settings;
  private final SenderHistory history;
  private final Map<GroupId, Slots> groups = new HashMap<>();
  private long nextSerial;

  /** Gate of the daemon {@code self}. */
  public ColdGate(DaemonId self, ColdSettings settings) {
    this.settings = settings;
    this.history = new SenderHistory(self, settings.quarantineMs());
  }

  /**
   * Takes a newer roster; slots that it takes from this daemon are given no more from now on.
   *
   * @param actsFromMs time from which the senders under earlier epochs have surely stopped giving
   *     permits
   */
  public synchronized void onRoster(Roster roster, long actsFromMs) {
    history.add(roster, actsFromMs);
  }

  /**
   * Takes a newer roster while senders under earlier epochs may still give permits; slots that it
   * takes from this daemon are given no more from now on, and it gains none before {@link
   * #onEarlierSendersStopped}.
   */
  public synchronized void onRoster(Roster roster) {
    history.add(roster, SenderHistory.NOT_YET);
  }

  /** Notes that since {@code nowMs} no sender of an epoch before the newest gives permits. */
  public synchronized void onEarlierSendersStopped(long nowMs) {
    history.onEarlierSendersStopped(nowMs);
  }

  /**
   * Asks for a permit.
   *
   * @param budget requests at once, fleet-wide, that the group bears
   * @param wantedMs time that the request may take
   * @param isFresh whether the present roster was confirmed to this daemon recently enough to act
   */
  public synchronized ColdPermitDecision tryAcquire(
      ServingGroup group, int budget, long wantedMs, boolean isFresh, long nowMs) {
    int rank = history.rank(group.id());
    if (!isFresh || rank == SenderHistory.NO_RANK) {
      return refuse("not a sender");
    }
    Slots slots = slotsOf(group);
    slots.held.values().removeIf(held -> held.untilMs() <= nowMs);
    int share = (budget - rank + SENDERS - 1) / SENDERS;
    if (slots.held.size() >= Math.min(slots.rampLimit, share)) {
      return refuse("slots in use");
    }
    if (!isRested(group.id(), nowMs)) {
      return refuse("slots rest after a change of sender");
    }
    for (int slot = rank; slot < budget; slot += SENDERS) {
      if (!slots.held.containsKey(slot)) {
        return grant(group, slots, slot, share, wantedMs, nowMs);
      }
    }
    return refuse("slots in use");
  }

  /** A restarted group has lost the requests of its earlier incarnation, but slots stay resting. */
  private Slots slotsOf(ServingGroup group) {
    Slots slots = groups.get(group.id());
    if (slots == null || !slots.incarnation.equals(group.incarnation())) {
      Slots fresh = new Slots(group.incarnation());
      if (slots != null) {
        fresh.held.putAll(slots.held);
      }
      groups.put(group.id(), fresh);
      return fresh;
    }
    return slots;
  }

  private boolean isRested(GroupId group, long nowMs) {
    long sinceMs = history.heldSinceMs(group);
    return sinceMs != Long.MAX_VALUE && nowMs >= sinceMs + settings.quarantineMs();
  }

  private ColdPermitDecision grant(
      ServingGroup group, Slots slots, int slot, int share, long wantedMs, long nowMs) {
    long validMs = Math.min(wantedMs, settings.maxPermitMs());
    Held held = new Held(nextSerial++, nowMs + validMs + settings.graceMs());
    slots.held.put(slot, held);
    Invariant.COLD_BUDGET.check(
        slots.held.size() <= share, group.id() + " holds " + slots.held.size() + " of " + share);
    return new ColdPermitDecision.Granted(
        new ColdPermit(group.id(), slots.incarnation, slot, held.serial(), validMs));
  }

  private static ColdPermitDecision refuse(String reason) {
    return new ColdPermitDecision.Refused(ResultCode.COLD_LIMIT_REACHED, reason);
  }

  /**
   * Gives a permit back; a permit that has ended or is unknown is ignored.
   *
   * @param isSuccess whether the request got its whole answer in normal time
   */
  public synchronized void release(ColdPermit permit, boolean isSuccess) {
    @Nullable Slots slots = groups.get(permit.group());
    if (slots == null) {
      return;
    }
    Held held = slots.held.get(permit.slot());
    if (held == null || held.serial() != permit.serial()) {
      return;
    }
    slots.held.remove(permit.slot());
    if (slots.incarnation.equals(permit.incarnation())) {
      slots.rampLimit = isSuccess ? slots.rampLimit + 1 : 1;
    }
  }

  /** Requests that occupy {@code group} through this sender. */
  public synchronized int inUse(GroupId group, long nowMs) {
    Slots slots = groups.get(group);
    return slots == null
        ? 0
        : (int) slots.held.values().stream().filter(held -> held.untilMs() > nowMs).count();
  }

  /** Forgets the groups that are not among {@code existing} and hold no request. */
  public synchronized void retain(Set<GroupId> existing, long nowMs) {
    groups
        .entrySet()
        .removeIf(
            item ->
                !existing.contains(item.getKey())
                    && item.getValue().held.values().stream()
                        .allMatch(held -> held.untilMs() <= nowMs));
  }
}
