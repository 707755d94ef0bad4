package org.limpetring.routing.admit;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.limpetring.base.ResultCode;
import org.limpetring.groups.ServingGroup;

/**
 * Decides which requests of one pool are admitted, in which order, and which are shed.
 *
 * <p>A request that cannot finish before its deadline is rejected as early as possible: on arrival
 * by the expected wait at its caller's share, and in the queue by the time left. Not thread-safe;
 * {@link AdmissionGate} synchronizes access.
 */
public final class AdmissionScheduler {

  private final SlotAllocator slots;
  private final FairQueue queue;
  private final ServiceTimeEstimator serviceTime;
  private int inProgress;

  /** Creates a scheduler without requests. */
  public AdmissionScheduler(AdmissionSettings settings, SlotAllocator slots) {
    this.slots = slots;
    this.queue = new FairQueue(settings.maxQueuedPerCaller());
    this.serviceTime = new ServiceTimeEstimator(settings.initialServiceMs());
  }

  /** Returns the number of queued requests. */
  public int queued() {
    return queue.size();
  }

  /** Handles the arrival of a request. */
  public List<AdmissionEffect> arrive(Ticket ticket, long nowMs) {
    List<AdmissionEffect> effects = new ArrayList<>(admitQueued(nowMs));
    if (!slots.hasServingGroup(ticket.excluded())) {
      effects.add(new AdmissionEffect.Refuse(ticket, ResultCode.NO_GROUP_SERVING));
      return effects;
    }
    if (queue.size() == 0) {
      Optional<ServingGroup> group =
          nowMs + expectedServiceMs() > ticket.deadlineMs()
              ? Optional.empty()
              : slots.acquire(ticket);
      if (group.isPresent()) {
        queue.serveUnqueued(ticket);
        inProgress++;
        effects.add(new AdmissionEffect.Admit(ticket, group.get()));
        return effects;
      }
    }
    effects.addAll(enqueue(ticket, nowMs));
    return effects;
  }

  private List<AdmissionEffect> enqueue(Ticket ticket, long nowMs) {
    double expectedEndMs = nowMs + expectedWaitMs(ticket) + serviceTime.highEstimateMs();
    if (inProgress > 0 && expectedEndMs > ticket.deadlineMs()) {
      return List.of(new AdmissionEffect.Refuse(ticket, ResultCode.DEADLINE_TOO_SHORT));
    }
    if (!queue.add(ticket)) {
      return List.of(new AdmissionEffect.Refuse(ticket, ResultCode.QUEUE_FULL));
    }
    return List.of();
  }

  /** Expected wait of a new request of the caller if all waiting callers use their shares. */
  private double expectedWaitMs(Ticket ticket) {
    int capacity = Math.max(1, slots.capacity());
    double share = (double) ticket.weight() / queue.activeWeight(ticket.caller(), ticket.weight());
    double ticketsAhead = Math.min(queue.sizeOf(ticket.caller()) / share, queue.size());
    return ticketsAhead * serviceTime.meanMs() / capacity;
  }

  /** Expected response time of a request that does not have to wait for a slot. */
  private double expectedServiceMs() {
    return inProgress == 0 ? 1 : serviceTime.meanMs();
  }

  /** Whether a request has too little time left to be given a slot. */
  private boolean isTooLate(Ticket ticket, long nowMs) {
    // With nothing in progress, one request is needed to find out whether responses are fast again.
    double neededMs = inProgress == 0 ? 1 : serviceTime.highEstimateMs();
    return nowMs + neededMs > ticket.deadlineMs();
  }

  /** Handles the end of a request at the group that it was admitted to. */
  public List<AdmissionEffect> release(ServingGroup group, long nowMs) {
    slots.release(group);
    inProgress--;
    return admitQueued(nowMs);
  }

  /** Records that a complete response took {@code elapsedMs} since admission. */
  public void observe(long elapsedMs) {
    serviceTime.observe(elapsedMs);
  }

  /** Removes a cancelled request from the queue, so that it is not decided any more. */
  public void withdraw(Ticket ticket) {
    queue.remove(ticket);
  }

  /** Decides on queued requests after time has passed or the serving groups have changed. */
  public List<AdmissionEffect> admitQueued(long nowMs) {
    List<AdmissionEffect> effects = new ArrayList<>();
    boolean hasProgress = queue.size() > 0;
    while (hasProgress) {
      hasProgress = false;
      for (Ticket ticket : queue.firstTickets()) {
        if (decide(ticket, nowMs, effects)) {
          hasProgress = true;
          break;
        }
      }
    }
    return effects;
  }

  private boolean decide(Ticket ticket, long nowMs, List<AdmissionEffect> effects) {
    if (isTooLate(ticket, nowMs)) {
      queue.remove(ticket);
      boolean isDeadlinePassed = nowMs >= ticket.deadlineMs();
      ResultCode code = isDeadlinePassed ? ResultCode.QUEUE_TIMEOUT : ResultCode.DEADLINE_TOO_SHORT;
      effects.add(new AdmissionEffect.Refuse(ticket, code));
      return true;
    }
    Optional<ServingGroup> group = slots.acquire(ticket);
    if (group.isPresent()) {
      queue.serve(ticket);
      inProgress++;
      effects.add(new AdmissionEffect.Admit(ticket, group.get()));
      return true;
    }
    if (!slots.hasServingGroup(ticket.excluded())) {
      queue.remove(ticket);
      effects.add(new AdmissionEffect.Refuse(ticket, ResultCode.NO_GROUP_SERVING));
      return true;
    }
    return false;
  }
}
