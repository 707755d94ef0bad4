package org.limpetring.standin;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.limpetring.standin.engine.EngineFleet;
import org.limpetring.standin.engine.EngineService;
import org.limpetring.standin.engine.WeightLoader;
import org.limpetring.standin.host.RunLog;
import org.limpetring.standin.host.SimulatedHost;
import org.limpetring.standin.http.Endpoints;
import org.limpetring.standin.plain.PlainService;
import org.limpetring.standin.platform.HostCatalogue;
import org.limpetring.standin.platform.PlatformService;
import org.limpetring.standin.platform.PlatformService.WeightsResponse;
import org.limpetring.store.WeightStore.ModelWeights;
import org.limpetring.store.memory.MemoryObjectStore;

/** Builds and runs all stand-ins of one process from the settings. */
public final class Standin implements AutoCloseable {

  private static final String PLATFORM = "platform";

  private final StandinSettings settings;
  private final Endpoints endpoints = new Endpoints();
  private final RunLog log = new RunLog();
  private final Map<String, SimulatedHost> hosts = new HashMap<>();
  private final WeightLoader weightLoader;
  private final EngineFleet fleet;

  private Standin(StandinSettings settings) {
    this.settings = settings;
    StandinSettings.Platform platform = settings.platform();
    weightLoader = new WeightLoader(platform == null ? 0 : platform.loadsAtOnce());
    fleet = new EngineFleet(weightLoader, log);
  }

  /** Creates all stand-ins and starts listening on their sockets. */
  public static Standin start(StandinSettings settings) throws IOException {
    Standin standin = new Standin(settings);
    PlatformService platform = standin.openPlatform(settings.platform());
    standin.openEngines();
    standin.openServices();
    standin.openControl(platform);
    standin.endpoints.start();
    return standin;
  }

  @Override
  public void close() {
    endpoints.close();
    weightLoader.close();
  }

  private @Nullable PlatformService openPlatform(StandinSettings.@Nullable Platform platform) {
    if (platform == null) {
      return null;
    }
    List<HostCatalogue.ListedHost> listedHosts = new ArrayList<>();
    for (StandinSettings.Host host : platform.hosts()) {
      SimulatedHost simulated =
          new SimulatedHost(host.host(), host.failureDomain(), host.fabricDomain());
      hosts.put(host.host(), simulated);
      listedHosts.add(
          new HostCatalogue.ListedHost(
              simulated,
              new HostCatalogue.Entry(
                  host.host(),
                  host.address(),
                  host.failureDomain(),
                  host.fabricDomain(),
                  false,
                  host.accelerators())));
    }
    SimulatedHost store = host(PLATFORM);
    PlatformService service =
        new PlatformService(
            new MemoryObjectStore(),
            new HostCatalogue(listedHosts, platform.hostListLagMs()),
            weights(platform),
            store);
    store.attach(endpoints.open(platform.address(), platform.port(), service), () -> {}, () -> {});
    return service;
  }

  private static WeightsResponse weights(StandinSettings.Platform platform) {
    return new WeightsResponse(
        platform.loadsAtOnce(),
        platform.weights().stream()
            .map(model -> new ModelWeights(model.model(), model.version(), model.loadMs()))
            .toList());
  }

  private void openEngines() {
    for (StandinSettings.Engine engine : settings.engines()) {
      SimulatedHost host = host(engine.host());
      EngineService service = fleet.add(engine, host);
      host.attach(
          endpoints.open(engine.address(), engine.port(), service),
          service::restart,
          service::makeCold);
    }
  }

  private void openServices() {
    for (StandinSettings.PlainService serviceSettings : settings.services()) {
      SimulatedHost host = host(serviceSettings.host());
      PlainService service = new PlainService(serviceSettings, host, log);
      host.attach(
          endpoints.open(serviceSettings.address(), serviceSettings.port(), service),
          service::restart,
          () -> {});
    }
  }

  private void openControl(@Nullable PlatformService platform) {
    ControlService control = new ControlService(List.copyOf(hosts.values()), log, fleet, platform);
    endpoints.open(settings.control().address(), settings.control().port(), control);
  }

  private SimulatedHost host(String name) {
    return hosts.computeIfAbsent(name, hostName -> new SimulatedHost(hostName, "", ""));
  }
}
