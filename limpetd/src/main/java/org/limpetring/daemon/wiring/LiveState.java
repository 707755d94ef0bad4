package org.limpetring.daemon.wiring;

import com.google.inject.Inject;
import java.util.concurrent.atomic.AtomicBoolean;
import org.limpetring.base.Clock;
import org.limpetring.daemon.caller.DaemonState;
import org.limpetring.groups.ServingGroup;
import org.limpetring.groups.control.GroupController;
import org.limpetring.routing.choose.GroupIndex;
import org.limpetring.tables.AcceptedConfig;

/** State of the daemon put together from the fleet and the groups. */
public final class LiveState implements DaemonState {

  private final Clock clock;
  private final FleetPort fleet;
  private final GroupController groups;
  private final AtomicBoolean unready = new AtomicBoolean();
  private final AtomicBoolean stopping = new AtomicBoolean();

  /** Joins the views of {@code fleet} and {@code groups}. */
  @Inject
  public LiveState(Clock clock, FleetPort fleet, GroupController groups) {
    this.clock = clock;
    this.fleet = fleet;
    this.groups = groups;
  }

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
    return GroupIndex.of(groups.view().servingAt(clock.nowMs()));
  }

  @Override
  public boolean isFresh(long nowMs) {
    return fleet.isFresh(nowMs);
  }

  @Override
  public boolean serves(ServingGroup group, long nowMs) {
    return groups.view().serves(group.id(), group.epoch(), nowMs);
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
