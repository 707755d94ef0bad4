package org.limpetring.daemon.wiring;

import com.google.inject.AbstractModule;
import com.google.inject.Provides;
import com.google.inject.Singleton;
import java.util.List;
import org.limpetring.base.Clock;
import org.limpetring.base.DaemonId;
import org.limpetring.base.FabricDomain;
import org.limpetring.base.HostId;
import org.limpetring.engine.EnginePort;
import org.limpetring.fleet.Role;
import org.limpetring.groups.control.ControlSettings;
import org.limpetring.groups.control.GroupController;
import org.limpetring.groups.control.GroupInputs;
import org.limpetring.store.HostEntry;
import org.limpetring.store.ObjectStore;
import org.limpetring.store.WeightStore;
import org.limpetring.tables.AcceptedConfig;

/** Bindings for planning, orders and monitoring of groups. */
public final class GroupsModule extends AbstractModule {

  private static final int REPORT_THREADS = 8;

  @Provides
  @Singleton
  GroupController controller(
      DaemonId self,
      Clock clock,
      ObjectStore store,
      EnginePort engine,
      GroupInputs inputs,
      DaemonThreads threads) {
    return new GroupController(
        self,
        clock,
        store,
        engine,
        inputs,
        ControlSettings.DEFAULT,
        threads.pool("reports", REPORT_THREADS),
        threads.pool("plans", 1));
  }

  @Provides
  @Singleton
  GroupInputs inputs(FleetPort fleet, HostPoller hosts, Clock clock) {
    return new GroupInputs() {
      @Override
      public AcceptedConfig config() {
        return fleet.config();
      }

      @Override
      public List<HostEntry> hosts() {
        return hosts.hosts();
      }

      @Override
      public WeightStore.Result.Limits weights() {
        return hosts.limits();
      }

      @Override
      public boolean mayPlan(FabricDomain domain) {
        return fleet.holds(Role.planner(domain), clock.nowMs());
      }

      @Override
      public boolean observes(HostId host) {
        return fleet.holds(Role.observer(host), clock.nowMs());
      }
    };
  }
}
