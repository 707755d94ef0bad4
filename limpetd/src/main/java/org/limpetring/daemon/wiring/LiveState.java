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

/** State of the daemon put together from the fleet and the groups. */
public final class LiveState implements DaemonState {

  private static final long INDEX_MS = 100;

  private final Clock clock;
  private final FleetPort fleet;
  private final GroupController groups;
  private final PauseWatch pauses;
  private final ColdGroupDetector marks;
  private final DaemonId self;
  private final DaemonSettings settings;
  private final AtomicReference<Indexed> indexed =
      new AtomicReference<>(new Indexed(ServingView.EMPTY, Long.MIN_VALUE / 2, GroupIndex.EMPTY));
  private final AtomicBoolean unready = new AtomicBoolean();
  private final AtomicBoolean stopping = new AtomicBoolean();

  /** Joins the views of {@code fleet} and {@code groups}. */
  @Inject
  public LiveState(
      Clock clock,
      FleetPort fleet,
      GroupController groups,
      PauseWatch pauses,
      ColdGroupDetector marks,
      DaemonId self,
      DaemonSettings settings) {
    this.clock = clock;
    this.fleet = fleet;
    this.groups = groups;
    this.pauses = pauses;
    this.marks = marks;
    this.self = self;
    this.settings = settings;
  }

  /** Index of one view, good for a short time because groups turn stale by the clock. */
  private record Indexed(ServingView view, long builtMs, GroupIndex index) {}

  /** Asks the balancer to send new requests elsewhere; those that still come are served. */
  public void becomeUnready() {
    unready.set(true);
  }

  /** Refuses new requests from now on. */
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
    Indexed known = Objects.requireNonNull(indexed.get());
    if (known.view() == view && nowMs - known.builtMs() < INDEX_MS) {
      return known.index();
    }
    GroupIndex index =
        GroupIndex.of(
            view.servingAt(nowMs),
            settings.failureDomain(),
            marks::isCold,
            self,
            fleet.roster().daemons().size());
    indexed.set(new Indexed(view, nowMs, index));
    return index;
  }

  @Override
  public boolean isFresh(long nowMs) {
    return fleet.isFresh(nowMs) && pauses.isSettled(nowMs);
  }

  @Override
  public boolean serves(ServingGroup group, boolean asCold, long nowMs) {
    return groups.view().serves(group.id(), group.epoch(), nowMs)
        && groups().stillServes(group)
        && (asCold || !marks.isCold(group));
  }

  @Override
  public boolean isReady() {
    return fleet.isReady();
  }

  @Override
  public boolean isLeaving() {
    return unready.get();
  }

  @Override
  public boolean isStopping() {
    return stopping.get();
  }
}
