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
 * Admission control of cold groups at their cold senders.
 *
 * <p>The budget of a group is a number of slots; slot {@code i} belongs to the sender of rank
 * {@code i mod 2}. A slot whose sender changed is quarantined until no permit of the earlier sender
 * can be in use. A sender uses one of its slots at first and one more after each success (slow
 * start, Jacobson, "Congestion avoidance and control", SIGCOMM 1988), and returns to one on a
 * failure. Thread-safe.
 */
public final class ColdGate {

  private static final int SENDERS_PER_GROUP = 2;

  /** Slots of one incarnation of a group. */
  private static final class GroupSlots {
    final String incarnation;
    final Map<Integer, Lease> leases = new HashMap<>();
    int slowStartLimit = 1;

    GroupSlots(String incarnation) {
      this.incarnation = incarnation;
    }
  }

  private record Lease(long serial, long expiresAtMs) {}

  private final ColdSettings settings;
  private final SenderHistory history;
  private final Map<GroupId, GroupSlots> groups = new HashMap<>();
  private long nextSerial;

  /** Creates the gate of the daemon {@code self}. */
  public ColdGate(DaemonId self, ColdSettings settings) {
    this.settings = settings;
    this.history = new SenderHistory(self, settings.quarantineMs());
  }

  /**
   * Applies a newer roster; slots that this daemon loses by it are no longer granted from now on.
   *
   * @param activeFromMs time from which the senders of earlier epochs are certain to grant no more
   *     permits
   */
  public synchronized void onRoster(Roster roster, long activeFromMs) {
    history.add(roster, activeFromMs);
  }

  /**
   * Applies a newer roster while senders of earlier epochs may still grant permits; slots that this
   * daemon loses by it are no longer granted from now on, and slots that it gains are not granted
   * before {@link #onEarlierSendersStopped}.
   */
  public synchronized void onRoster(Roster roster) {
    history.add(roster, SenderHistory.NOT_YET_ACTIVE);
  }

  /** Records that from {@code nowMs} on no sender of an epoch before the newest grants permits. */
  public synchronized void onEarlierSendersStopped(long nowMs) {
    history.onEarlierSendersStopped(nowMs);
  }

  /**
   * Requests a permit.
   *
   * @param budget number of concurrent requests, fleet-wide, that the group sustains
   * @param requestedMs maximum duration of the request
   * @param isRosterFresh whether the current roster was confirmed recently enough for this daemon
   *     to act as a sender
   */
  public synchronized ColdPermitDecision tryAcquire(
      ServingGroup group, int budget, long requestedMs, boolean isRosterFresh, long nowMs) {
    int rank = history.rank(group.id());
    if (!isRosterFresh || rank == SenderHistory.NO_RANK) {
      return refuse("this daemon is not a sender of the group");
    }
    GroupSlots slots = currentSlots(group);
    slots.leases.values().removeIf(lease -> lease.expiresAtMs() <= nowMs);
    int share = (budget - rank + SENDERS_PER_GROUP - 1) / SENDERS_PER_GROUP;
    if (slots.leases.size() >= Math.min(slots.slowStartLimit, share)) {
      return refuse("all slots are in use");
    }
    if (!isQuarantineOver(group.id(), nowMs)) {
      return refuse("slots are quarantined after a change of sender");
    }
    for (int slot = rank; slot < budget; slot += SENDERS_PER_GROUP) {
      if (!slots.leases.containsKey(slot)) {
        return grant(group, slots, slot, share, requestedMs, nowMs);
      }
    }
    return refuse("all slots are in use");
  }

  /**
   * A new incarnation restarts slow start but keeps the leases, although the restarted group has
   * lost the requests of its earlier incarnation.
   */
  private GroupSlots currentSlots(ServingGroup group) {
    GroupSlots slots = groups.get(group.id());
    if (slots == null || !slots.incarnation.equals(group.incarnation())) {
      GroupSlots fresh = new GroupSlots(group.incarnation());
      if (slots != null) {
        fresh.leases.putAll(slots.leases);
      }
      groups.put(group.id(), fresh);
      return fresh;
    }
    return slots;
  }

  private boolean isQuarantineOver(GroupId group, long nowMs) {
    long rankHeldSinceMs = history.rankHeldSinceMs(group);
    return rankHeldSinceMs != Long.MAX_VALUE && nowMs >= rankHeldSinceMs + settings.quarantineMs();
  }

  private ColdPermitDecision grant(
      ServingGroup group, GroupSlots slots, int slot, int share, long requestedMs, long nowMs) {
    long validMs = Math.min(requestedMs, settings.maxPermitMs());
    Lease lease = new Lease(nextSerial++, nowMs + validMs + settings.graceMs());
    slots.leases.put(slot, lease);
    Invariant.COLD_BUDGET.check(
        slots.leases.size() <= share,
        group.id() + " holds " + slots.leases.size() + " of " + share);
    return new ColdPermitDecision.Granted(
        new ColdPermit(group.id(), slots.incarnation, slot, lease.serial(), validMs));
  }

  private static ColdPermitDecision refuse(String reason) {
    return new ColdPermitDecision.Refused(ResultCode.COLD_LIMIT_REACHED, reason);
  }

  /**
   * Releases a permit; an expired or unknown permit is ignored.
   *
   * @param isSuccess whether the request received its complete response in normal time
   */
  public synchronized void release(ColdPermit permit, boolean isSuccess) {
    @Nullable GroupSlots slots = groups.get(permit.group());
    if (slots == null) {
      return;
    }
    Lease lease = slots.leases.get(permit.slot());
    if (lease == null || lease.serial() != permit.serial()) {
      return;
    }
    slots.leases.remove(permit.slot());
    if (slots.incarnation.equals(permit.incarnation())) {
      slots.slowStartLimit = isSuccess ? slots.slowStartLimit + 1 : 1;
    }
  }

  /** Returns the number of requests that occupy {@code group} through this sender. */
  public synchronized int inUse(GroupId group, long nowMs) {
    GroupSlots slots = groups.get(group);
    return slots == null
        ? 0
        : (int) slots.leases.values().stream().filter(lease -> lease.expiresAtMs() > nowMs).count();
  }

  /** Removes the state of groups that are not in {@code existing} and have no active lease. */
  public synchronized void retain(Set<GroupId> existing, long nowMs) {
    groups
        .entrySet()
        .removeIf(
            item ->
                !existing.contains(item.getKey())
                    && item.getValue().leases.values().stream()
                        .allMatch(lease -> lease.expiresAtMs() <= nowMs));
  }
}
