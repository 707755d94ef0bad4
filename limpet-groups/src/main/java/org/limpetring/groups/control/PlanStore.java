package org.limpetring.groups.control;

import java.util.ArrayList;
import java.util.List;
import org.jboss.logging.Logger;
import org.jspecify.annotations.Nullable;
import org.limpetring.base.DaemonId;
import org.limpetring.base.FabricDomain;
import org.limpetring.base.LogEvent;
import org.limpetring.groups.Plan;
import org.limpetring.groups.PlanCodec;
import org.limpetring.groups.monitor.GroupMetrics;
import org.limpetring.store.ListResult;
import org.limpetring.store.ObjectStore;
import org.limpetring.store.ReadResult;
import org.limpetring.store.StoredObject;
import org.limpetring.store.WriteResult;

/**
 * Reads plans and writes them conditionally. If the response to a write is lost, reads the plan
 * back to find out whether the write succeeded.
 */
final class PlanStore {

  private static final Logger LOGGER = Logger.getLogger(PlanStore.class);

  private final ObjectStore store;
  private final DaemonId self;
  private long attempts;

  PlanStore(ObjectStore store, DaemonId self) {
    this.store = store;
    this.self = self;
  }

  /** Returns all plans, or null if the platform does not respond. */
  @Nullable List<StoredPlan> readAll() {
    if (!(store.list(PlanCodec.KEY_PREFIX) instanceof ListResult.Listed listed)) {
      return null;
    }
    List<StoredPlan> plans = new ArrayList<>();
    for (StoredObject object : listed.objects()) {
      plans.add(stored(object));
    }
    return plans;
  }

  /**
   * Returns the stored plan, an empty one if there is none, or null if the platform does not
   * respond.
   */
  @Nullable StoredPlan read(FabricDomain domain) {
    ReadResult result = store.get(PlanCodec.key(domain));
    if (result instanceof ReadResult.Found found) {
      return stored(found.object());
    }
    if (result instanceof ReadResult.Missing) {
      return new StoredPlan(Plan.empty(domain), 0);
    }
    return null;
  }

  /**
   * Replaces {@code current} by {@code next}; returns the stored plan, or null if the write is not
   * known to have succeeded.
   */
  @Nullable StoredPlan replace(StoredPlan current, Plan next) {
    String writer = self + "/" + ++attempts;
    Plan tagged = new Plan(next.domain(), next.epoch(), writer, next.groups());
    String key = PlanCodec.key(next.domain());
    WriteResult result = store.put(key, PlanCodec.encode(tagged), current.version());
    if (result instanceof WriteResult.Written written) {
      return written(tagged, written.version());
    }
    if (result instanceof WriteResult.Unknown) {
      return readBack(tagged);
    }
    if (result instanceof WriteResult.Conflict) {
      GroupMetrics.PLAN_WRITES.labelValues("conflict").inc();
      LogEvent.PLAN_CONFLICT.log(LOGGER, next.domain());
      return null;
    }
    GroupMetrics.PLAN_WRITES.labelValues("unavailable").inc();
    return null;
  }

  private @Nullable StoredPlan readBack(Plan tagged) {
    GroupMetrics.PLAN_WRITES.labelValues("unknown").inc();
    @Nullable StoredPlan latest = read(tagged.domain());
    boolean isOwn = latest != null && latest.plan().writer().equals(tagged.writer());
    return isOwn ? latest : null;
  }

  private static StoredPlan written(Plan plan, long version) {
    GroupMetrics.PLAN_WRITES.labelValues("written").inc();
    LogEvent.PLAN_WRITTEN.log(LOGGER, plan.domain(), plan.epoch());
    return new StoredPlan(plan, version);
  }

  private static StoredPlan stored(StoredObject object) {
    return new StoredPlan(PlanCodec.decode(object.value()), object.version());
  }
}
