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

/** Places in warm groups: how many requests at once this daemon gives each. */
public final class WarmGroups {

  private static final int DEFAULT_CONCURRENCY = 16;
  private static final RandomGenerator RANDOM = () -> ThreadLocalRandom.current().nextLong();

  private final Clock clock;
  private final DaemonState state;
  private final InFlightCounts inFlight = new InFlightCounts();
  private final ConcurrentMap<GroupId, AdaptiveLimit> limits = new ConcurrentHashMap<>();

  /** Places in the groups of {@code state}. */
  @Inject
  public WarmGroups(Clock clock, DaemonState state) {
    this.clock = clock;
    this.state = state;
  }

  /** Places of one pool. */
  SlotAllocator placement(PoolName pool) {
    return new GroupSlotAllocator(pool, state::groups, inFlight, this::limitOf, RANDOM);
  }

  /** Learns from one try how much the group bears. */
  void observe(ServingGroup group, TryReport report) {
    AdaptiveLimit limit = limit(group);
    long nowMs = clock.nowMs();
    if (report.code() == ResultCode.UPSTREAM_REFUSED && report.sent()) {
      limit.onRejected(nowMs);
    } else if (report.firstEventMs() >= 0) {
      limit.observe(report.firstEventMs(), inFlight.get(group.id()), nowMs);
    }
  }

  /** Forgets groups that are not among {@code existing}. */
  void retain(Set<GroupId> existing) {
    limits.keySet().retainAll(existing);
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
