package org.limpetring.daemon.wiring;

import com.google.inject.Inject;
import java.util.Objects;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import org.limpetring.base.Clock;
import org.limpetring.base.DaemonId;
import org.limpetring.daemon.caller.DaemonState;
import org.limpetring.daemon.settings.DaemonSettings;
import org.limpetring.groups.ServingGroup;
import org.limpetring.groups.ServingView;
import org.limpetring.groups.control.GroupController;
import org.limpetring.routing.choose.GroupIndex;
import org.limpetring.routing.cold.ColdGroupDetector;
import org.limpetring.tables.AcceptedConfig;

/** State of the daemon, combined from the fleet, the groups and the readiness flags. */
public final class LiveDaemonState implements DaemonState {

  private static final long INDEX_MAX_AGE_MS = 100;

  private final Clock clock;
  private final FleetPort fleet;
  private final GroupController groups;
  private final PauseWatch pauseWatch;
  private final ColdGroupDetector coldGroupDetector;
  private final DaemonId self;
  private final DaemonSettings settings;
  private final AtomicReference<CachedIndex> cachedIndex =
      new AtomicReference<>(
          new CachedIndex(ServingView.EMPTY, Long.MIN_VALUE / 2, GroupIndex.EMPTY));
  private final AtomicBoolean draining = new AtomicBoolean();
  private final AtomicBoolean stopping = new AtomicBoolean();

  /** Combines the views of {@code fleet} and {@code groups}. */
  @Inject
  public LiveDaemonState(
      Clock clock,
      FleetPort fleet,
      GroupController groups,
      PauseWatch pauseWatch,
      ColdGroupDetector coldGroupDetector,
      DaemonId self,
      DaemonSettings settings) {
    this.clock = clock;
    this.fleet = fleet;
    this.groups = groups;
    this.pauseWatch = pauseWatch;
    this.coldGroupDetector = coldGroupDetector;
    this.self = self;
    this.settings = settings;
  }

  /** Index of one view, cached only briefly because groups turn stale as time passes. */
  private record CachedIndex(ServingView view, long builtAtMs, GroupIndex index) {}

  /** Fails the readiness check; requests that still arrive are served. */
  public void startDraining() {
    draining.set(true);
  }

  /** Rejects new requests from now on. */
  public void stop() {
    stopping.set(true);
  }

  @Override
  public AcceptedConfig config() {
    return fleet.config();
  }

  @Override
  public GroupIndex groups() {
    long nowMs = clock.nowMs();
    ServingView view = groups.view();
    CachedIndex cached = Objects.requireNonNull(cachedIndex.get());
    if (cached.view() == view && nowMs - cached.builtAtMs() < INDEX_MAX_AGE_MS) {
      return cached.index();
    }
    GroupIndex index =
        GroupIndex.of(
            view.servingAt(nowMs),
            settings.failureDomain(),
            coldGroupDetector::isCold,
            self,
            fleet.roster().daemons().size());
    cachedIndex.set(new CachedIndex(view, nowMs, index));
    return index;
  }

  @Override
  public boolean isFresh(long nowMs) {
    return fleet.isFresh(nowMs) && pauseWatch.isSettled(nowMs);
  }

  @Override
  public boolean serves(ServingGroup group, boolean asCold, long nowMs) {
    return groups.view().serves(group.id(), group.epoch(), nowMs)
        && groups().stillServes(group)
        && (asCold || !coldGroupDetector.isCold(group));
  }

  @Override
  public boolean isReady() {
    return fleet.isReady();
  }

  @Override
  public boolean isDraining() {
    return draining.get();
  }

  @Override
  public boolean isStopping() {
    return stopping.get();
  }
}
