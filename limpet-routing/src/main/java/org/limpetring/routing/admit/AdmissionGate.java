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

/** Shares one {@link AdmissionScheduler} between the threads of many requests. */
public final class AdmissionGate {

  private final AdmissionScheduler core;
  private final Clock clock;
  private final Map<Long, CompletableFuture<AdmissionEffect>> waiting = new HashMap<>();
  private long nextNumber;

  /** Gate of one pool. */
  public AdmissionGate(AdmissionSettings settings, SlotAllocator placement, Clock clock) {
    this.core = new AdmissionScheduler(settings, placement);
    this.clock = clock;
  }

  /** Way of one request through the gate. */
  public static final class PendingAdmission {

    private final Ticket ticket;
    private final CompletableFuture<AdmissionEffect> decision = new CompletableFuture<>();

    private PendingAdmission(Ticket ticket) {
      this.ticket = ticket;
    }

    /** Completes with the admission or the refusal. */
    public CompletableFuture<AdmissionEffect> decision() {
      return decision;
    }
  }

  /**
   * Seeks admission; a queued request is decided by {@link #tick} at its deadline at the latest.
   */
  public PendingAdmission requestAdmission(
      CallerId caller, int weight, long deadlineMs, Set<GroupId> excluded, long affinity) {
    PendingAdmission pass;
    List<AdmissionEffect> effects;
    synchronized (this) {
      pass =
          new PendingAdmission(
              new Ticket(nextNumber++, caller, weight, deadlineMs, excluded, affinity));
      waiting.put(pass.ticket.number(), pass.decision);
      effects = core.arrive(pass.ticket, clock.nowMs());
    }
    publish(effects);
    return pass;
  }

  /** Gives up a request; a place that it was admitted to is given back. */
  public void abandon(PendingAdmission pass) {
    synchronized (this) {
      core.withdraw(pass.ticket);
      waiting.remove(pass.ticket.number());
    }
    AdmissionEffect refusal = new AdmissionEffect.Refuse(pass.ticket, ResultCode.CANCELLED);
    boolean isDecided = !pass.decision.complete(refusal);
    if (isDecided && pass.decision.join() instanceof AdmissionEffect.Admit admit) {
      release(admit.group());
    }
  }

  /** Gives the place back that a request was admitted to. */
  public void release(ServingGroup group) {
    List<AdmissionEffect> effects;
    synchronized (this) {
      effects = core.release(group, clock.nowMs());
    }
    publish(effects);
  }

  /** Notes the time that a whole answer took since admission. */
  public synchronized void observe(long takenMs) {
    core.observe(takenMs);
  }

  /** Decides anew on the requests that wait; to be called on a change of groups and regularly. */
  public void tick() {
    List<AdmissionEffect> effects;
    synchronized (this) {
      effects = core.pump(clock.nowMs());
    }
    publish(effects);
  }

  /** Requests that wait. */
  public synchronized int queued() {
    return core.queued();
  }

  private void publish(List<AdmissionEffect> effects) {
    for (AdmissionEffect effect : effects) {
      CompletableFuture<AdmissionEffect> decision;
      synchronized (this) {
        decision = waiting.remove(effect.ticket().number());
      }
      boolean isHeard = decision != null && decision.complete(effect);
      if (!isHeard && effect instanceof AdmissionEffect.Admit admit) {
        release(admit.group());
      }
    }
  }
}
