package org.limpetring.daemon.admission;

import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.limpetring.base.Clock;
import org.limpetring.base.PoolName;
import org.limpetring.base.ResultCode;
import org.limpetring.daemon.caller.Admission.AdmissionRequest;
import org.limpetring.daemon.caller.Admission.Permit;
import org.limpetring.daemon.caller.Admission.Result;
import org.limpetring.daemon.caller.Admission.TryReport;
import org.limpetring.groups.ServingGroup;
import org.limpetring.routing.admit.AdmissionEffect;
import org.limpetring.routing.admit.AdmissionGate;
import org.limpetring.routing.admit.AdmissionSettings;

/** Blocking admission gate to the warm groups of one pool. */
final class PoolGate {

  private static final long DECISION_GRACE_MS = 250;

  private final Clock clock;
  private final WarmGroups warmGroups;
  private final ColdGroups coldGroups;
  private final AdmissionGate gate;

  PoolGate(PoolName pool, Clock clock, WarmGroups warmGroups, ColdGroups coldGroups) {
    this.clock = clock;
    this.warmGroups = warmGroups;
    this.coldGroups = coldGroups;
    this.gate = new AdmissionGate(AdmissionSettings.DEFAULT, warmGroups.slotAllocator(pool), clock);
  }

  /** Waits for the decision on one request, at most until shortly after its deadline. */
  Result admit(AdmissionRequest request) {
    AdmissionGate.PendingAdmission pending =
        gate.requestAdmission(
            request.caller(),
            request.weight(),
            request.deadlineAtMs(),
            request.excluded(),
            request.affinity());
    long waitMs = Math.max(0, request.deadlineAtMs() - clock.nowMs()) + DECISION_GRACE_MS;
    try {
      AdmissionEffect decision = pending.decision().get(waitMs, TimeUnit.MILLISECONDS);
      if (decision instanceof AdmissionEffect.Admit admit) {
        return new Result.Admitted(new WarmPermit(admit.group(), request.deadlineAtMs()));
      }
      return new Result.Refused(((AdmissionEffect.Refuse) decision).code());
    } catch (TimeoutException | ExecutionException undecided) {
      gate.abandon(pending);
      return new Result.Refused(ResultCode.QUEUE_TIMEOUT);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
      gate.abandon(pending);
      return new Result.Refused(ResultCode.STOPPING);
    }
  }

  void tick() {
    gate.tick();
  }

  int queued() {
    return gate.queued();
  }

  private final class WarmPermit implements Permit {

    private final ServingGroup group;
    private final long expiresAtMs;

    WarmPermit(ServingGroup group, long expiresAtMs) {
      this.group = group;
      this.expiresAtMs = expiresAtMs;
    }

    @Override
    public ServingGroup group() {
      return group;
    }

    @Override
    public boolean isCold() {
      return false;
    }

    @Override
    public long expiresAtMs() {
      return expiresAtMs;
    }

    @Override
    public void release(TryReport report) {
      warmGroups.observe(group, report);
      coldGroups.observe(group, report);
      if (report.sent() && report.code() == ResultCode.OK) {
        gate.observe(report.durationMs());
      }
      gate.release(group);
    }
  }
}
