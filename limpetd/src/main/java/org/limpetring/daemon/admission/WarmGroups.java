package org.limpetring.daemon.admission;

import com.google.inject.Inject;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.random.RandomGenerator;
import org.limpetring.base.Clock;
import org.limpetring.base.GroupId;
import org.limpetring.base.PoolName;
import org.limpetring.base.ResultCode;
import org.limpetring.daemon.caller.Admission.TryReport;
import org.limpetring.daemon.caller.DaemonState;
import org.limpetring.groups.ServingGroup;
import org.limpetring.routing.admit.AdaptiveLimit;
import org.limpetring.routing.admit.SlotAllocator;
import org.limpetring.routing.choose.GroupSlotAllocator;
import org.limpetring.routing.choose.InFlightCounts;
import org.limpetring.tables.Pool;

/** Concurrency limits of warm groups: requests that this daemon sends to each at once. */
public final class WarmGroups {

  private static final int DEFAULT_CONCURRENCY = 16;
  private static final RandomGenerator RANDOM = () -> ThreadLocalRandom.current().nextLong();

  private final Clock clock;
  private final DaemonState state;
  private final InFlightCounts inFlight = new InFlightCounts();
  private final ConcurrentMap<GroupId, AdaptiveLimit> limits = new ConcurrentHashMap<>();

  /** Limits concurrency in the groups of {@code state}. */
  @Inject
  public WarmGroups(Clock clock, DaemonState state) {
    this.clock = clock;
    this.state = state;
  }

  /** Allocator of the slots of one pool. */
  SlotAllocator slotAllocator(PoolName pool) {
    return new GroupSlotAllocator(pool, state::groups, inFlight, this::limitOf, RANDOM);
  }

  /** Adapts the group's concurrency limit to the outcome of one try. */
  void observe(ServingGroup group, TryReport report) {
    AdaptiveLimit limit = limit(group);
    long nowMs = clock.nowMs();
    if (report.code() == ResultCode.UPSTREAM_REFUSED && report.sent()) {
      limit.onRejected(nowMs);
    } else if (report.firstEventMs() >= 0) {
      limit.observe(report.firstEventMs(), inFlight.get(group.id()), nowMs);
    }
  }

  /** Drops the limits of groups that are not in {@code existingGroups}. */
  void retain(Set<GroupId> existingGroups) {
    limits.keySet().retainAll(existingGroups);
  }

  private int limitOf(ServingGroup group) {
    return limit(group).get();
  }

  private AdaptiveLimit limit(ServingGroup group) {
    return limits.computeIfAbsent(group.id(), id -> new AdaptiveLimit(concurrency(group.pool())));
  }

  private int concurrency(PoolName name) {
    for (Pool pool : state.config().pools().pools()) {
      if (pool.name().equals(name)) {
        return pool.groupConcurrency();
      }
    }
    return DEFAULT_CONCURRENCY;
  }
}
