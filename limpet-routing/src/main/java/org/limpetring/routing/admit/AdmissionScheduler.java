package org.limpetring.routing.admit;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.limpetring.base.ResultCode;
import org.limpetring.groups.ServingGroup;

/**
 * Decides which requests of one pool are admitted, in which order, and which are refused.
 *
 * <p>A request that cannot finish before its deadline is refused as soon as that is known: at
 * arrival by the expected wait of its caller's share, and in the queue by the time left. One thread
 * uses a core at a time; {@link AdmissionGate} shares it.
 */
public final class AdmissionScheduler {

  private final SlotAllocator placement;
  private final FairQueue queue;
  private final ServiceTimeEstimator serviceTime;
  private int inProgress;

  /** Core without a request. */
  public AdmissionScheduler(AdmissionSettings settings, SlotAllocator placement) {
    this.placement = placement;
    this.queue = new FairQueue(settings.maxQueuedPerCaller());
    this.serviceTime = new ServiceTimeEstimator(settings.initialServiceMs());
  }

  /** Requests that wait. */
  public int queued() {
    return queue.size();
  }

  /** A request seeks admission. */
  public List<AdmissionEffect> arrive(Ticket ticket, long nowMs) {
    List<AdmissionEffect> effects = new ArrayList<>(pump(nowMs));
    if (!placement.hasServingGroup(ticket.excluded())) {
      effects.add(new AdmissionEffect.Refuse(ticket, ResultCode.NO_GROUP_SERVING));
      return effects;
    }
    if (queue.size() == 0) {
      Optional<ServingGroup> group =
          nowMs + expectedServiceMs() > ticket.deadlineMs()
              ? Optional.empty()
              : placement.occupy(ticket);
      if (group.isPresent()) {
        queue.serveAtOnce(ticket);
        inProgress++;
        effects.add(new AdmissionEffect.Admit(ticket, group.get()));
        return effects;
      }
    }
    effects.addAll(enqueue(ticket, nowMs));
    return effects;
  }

  private List<AdmissionEffect> enqueue(Ticket ticket, long nowMs) {
    double endMs = nowMs + expectedWaitMs(ticket) + serviceTime.safeMs();
    if (inProgress > 0 && endMs > ticket.deadlineMs()) {
      return List.of(new AdmissionEffect.Refuse(ticket, ResultCode.DEADLINE_TOO_SHORT));
    }
    if (!queue.add(ticket)) {
      return List.of(new AdmissionEffect.Refuse(ticket, ResultCode.QUEUE_FULL));
    }
    return List.of();
  }

  /** Wait of a new request of the caller while all callers that wait take their shares. */
  private double expectedWaitMs(Ticket ticket) {
    int capacity = Math.max(1, placement.capacity());
    double share = (double) ticket.weight() / queue.activeWeight(ticket.caller(), ticket.weight());
    double ahead = Math.min(queue.sizeOf(ticket.caller()) / share, queue.size());
    return ahead * serviceTime.meanMs() / capacity;
  }

  /** Expected time of an answer where nobody waits for the place. */
  private double expectedServiceMs() {
    return inProgress == 0 ? 1 : serviceTime.meanMs();
  }

  /** Whether a place is better given to a request with more time left. */
  private boolean isLate(Ticket ticket, long nowMs) {
    // With nothing in progress one request must show whether answers are fast again.
    double neededMs = inProgress == 0 ? 1 : serviceTime.safeMs();
    return nowMs + neededMs > ticket.deadlineMs();
  }

  /** A request left the group that it was admitted to. */
  public List<AdmissionEffect> release(ServingGroup group, long nowMs) {
    placement.vacate(group);
    inProgress--;
    return pump(nowMs);
  }

  /** An admitted request got its whole answer {@code takenMs} after its admission. */
  public void observe(long takenMs) {
    serviceTime.observe(takenMs);
  }

  /** A request gave up; it is not decided on any more. */
  public void withdraw(Ticket ticket) {
    queue.remove(ticket);
  }

  /** Time passed, or the serving groups changed. */
  public List<AdmissionEffect> pump(long nowMs) {
    List<AdmissionEffect> effects = new ArrayList<>();
    boolean isMoving = queue.size() > 0;
    while (isMoving) {
      isMoving = false;
      for (Ticket ticket : queue.heads()) {
        if (decide(ticket, nowMs, effects)) {
          isMoving = true;
          break;
        }
      }
    }
    return effects;
  }

  private boolean decide(Ticket ticket, long nowMs, List<AdmissionEffect> effects) {
    if (isLate(ticket, nowMs)) {
      queue.remove(ticket);
      boolean isOver = nowMs >= ticket.deadlineMs();
      ResultCode code = isOver ? ResultCode.QUEUE_TIMEOUT : ResultCode.DEADLINE_TOO_SHORT;
      effects.add(new AdmissionEffect.Refuse(ticket, code));
      return true;
    }
    Optional<ServingGroup> group = placement.occupy(ticket);
    if (group.isPresent()) {
      queue.serve(ticket);
      inProgress++;
      effects.add(new AdmissionEffect.Admit(ticket, group.get()));
      return true;
    }
    if (!placement.hasServingGroup(ticket.excluded())) {
      queue.remove(ticket);
      effects.add(new AdmissionEffect.Refuse(ticket, ResultCode.NO_GROUP_SERVING));
      return true;
    }
    return false;
  }
}
