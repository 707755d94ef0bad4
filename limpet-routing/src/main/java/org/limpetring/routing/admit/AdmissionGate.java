package org.limpetring.routing.admit;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.limpetring.base.CallerId;
import org.limpetring.base.Clock;
import org.limpetring.base.GroupId;
import org.limpetring.base.ResultCode;
import org.limpetring.groups.ServingGroup;

/** Thread-safe access to one {@link AdmissionScheduler}, with futures for its decisions. */
public final class AdmissionGate {

  private final AdmissionScheduler scheduler;
  private final Clock clock;
  private final Map<Long, CompletableFuture<AdmissionEffect>> waiting = new HashMap<>();
  private long nextTicketNumber;

  /** Creates the gate of one pool. */
  public AdmissionGate(AdmissionSettings settings, SlotAllocator slots, Clock clock) {
    this.scheduler = new AdmissionScheduler(settings, slots);
    this.clock = clock;
  }

  /** Request whose admission is pending or decided. */
  public static final class PendingAdmission {

    private final Ticket ticket;
    private final CompletableFuture<AdmissionEffect> decision = new CompletableFuture<>();

    private PendingAdmission(Ticket ticket) {
      this.ticket = ticket;
    }

    /** Returns a future that completes with the admission or the rejection. */
    public CompletableFuture<AdmissionEffect> decision() {
      return decision;
    }
  }

  /**
   * Requests admission; a queued request is decided by {@link #tick} at its deadline at the latest.
   */
  public PendingAdmission requestAdmission(
      CallerId caller, int weight, long deadlineMs, Set<GroupId> excluded, long affinity) {
    PendingAdmission pending;
    List<AdmissionEffect> effects;
    synchronized (this) {
      pending =
          new PendingAdmission(
              new Ticket(nextTicketNumber++, caller, weight, deadlineMs, excluded, affinity));
      waiting.put(pending.ticket.number(), pending.decision);
      effects = scheduler.arrive(pending.ticket, clock.nowMs());
    }
    publish(effects);
    return pending;
  }

  /** Abandons a request; its slot is released if it was admitted already. */
  public void abandon(PendingAdmission pending) {
    synchronized (this) {
      scheduler.withdraw(pending.ticket);
      waiting.remove(pending.ticket.number());
    }
    AdmissionEffect cancellation = new AdmissionEffect.Refuse(pending.ticket, ResultCode.CANCELLED);
    boolean isDecided = !pending.decision.complete(cancellation);
    if (isDecided && pending.decision.join() instanceof AdmissionEffect.Admit admit) {
      release(admit.group());
    }
  }

  /** Releases the slot of an admitted request. */
  public void release(ServingGroup group) {
    List<AdmissionEffect> effects;
    synchronized (this) {
      effects = scheduler.release(group, clock.nowMs());
    }
    publish(effects);
  }

  /** Records the time from admission to the complete response. */
  public synchronized void observe(long elapsedMs) {
    scheduler.observe(elapsedMs);
  }

  /** Reconsiders the queued requests; must be called periodically and when the groups change. */
  public void tick() {
    List<AdmissionEffect> effects;
    synchronized (this) {
      effects = scheduler.admitQueued(clock.nowMs());
    }
    publish(effects);
  }

  /** Returns the number of queued requests. */
  public synchronized int queued() {
    return scheduler.queued();
  }

  private void publish(List<AdmissionEffect> effects) {
    for (AdmissionEffect effect : effects) {
      CompletableFuture<AdmissionEffect> decision;
      synchronized (this) {
        decision = waiting.remove(effect.ticket().number());
      }
      boolean isDelivered = decision != null && decision.complete(effect);
      if (!isDelivered && effect instanceof AdmissionEffect.Admit admit) {
        release(admit.group());
      }
    }
  }
}
