package org.limpetring.daemon.admission;

import com.google.inject.Inject;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import org.limpetring.base.Clock;
import org.limpetring.base.PoolName;
import org.limpetring.base.ResultCode;
import org.limpetring.daemon.caller.Admission;
import org.limpetring.routing.admit.RetryBudget;
import org.limpetring.tables.Pool;

/**
 * Admits a request to a cold group if this daemon has a permit for one, else to a warm group in the
 * order of the pool's gate.
 *
 * <p>Cold groups come first because only requests warm them up; their budget prevents overload.
 */
public final class GatedAdmission implements Admission {

  private final Clock clock;
  private final WarmGroups warmGroups;
  private final ColdGroups coldGroups;
  private final RetryBudget retries;
  private final ConcurrentMap<PoolName, PoolGate> gates = new ConcurrentHashMap<>();

  /** Admits to the given groups within the budget for retries. */
  @Inject
  public GatedAdmission(
      Clock clock, WarmGroups warmGroups, ColdGroups coldGroups, RetryBudget retries) {
    this.clock = clock;
    this.warmGroups = warmGroups;
    this.coldGroups = coldGroups;
    this.retries = retries;
  }

  @Override
  public Result admit(AdmissionRequest request) {
    if (clock.nowMs() >= request.deadlineAtMs()) {
      return new Result.Refused(ResultCode.DEADLINE_TOO_SHORT);
    }
    if (request.excluded().isEmpty()) {
      retries.onFirstTry();
    }
    Optional<Permit> cold = coldGroups.tryAdmit(request);
    if (cold.isPresent()) {
      return new Result.Admitted(cold.get());
    }
    Result warm = gate(request.pool()).admit(request);
    boolean onlyColdLeft =
        warm instanceof Result.Refused refused
            && refused.code() == ResultCode.NO_GROUP_SERVING
            && coldGroups.hasUntried(request);
    return onlyColdLeft ? new Result.Refused(ResultCode.COLD_LIMIT_REACHED) : warm;
  }

  /** Decides on queued requests again; called periodically. */
  public void tick() {
    coldGroups.tick();
    gates.values().forEach(PoolGate::tick);
  }

  /** Number of queued requests in all pools. */
  public int queued() {
    return gates.values().stream().mapToInt(PoolGate::queued).sum();
  }

  private PoolGate gate(Pool pool) {
    return gates.computeIfAbsent(
        pool.name(), name -> new PoolGate(name, clock, warmGroups, coldGroups));
  }
}
