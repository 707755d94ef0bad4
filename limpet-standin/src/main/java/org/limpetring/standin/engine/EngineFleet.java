package org.limpetring.standin.engine;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.limpetring.base.Clock;
import org.limpetring.standin.StandinSettings;
import org.limpetring.standin.host.Fault;
import org.limpetring.standin.host.RunLog;
import org.limpetring.standin.host.SimulatedHost;

/** All engines of one process; engines look up the other members of their group here. */
public final class EngineFleet {

  private final Map<String, Engine> engines = new HashMap<>();
  private final WeightLoader weightLoader;
  private final RunLog log;

  /** Creates an empty fleet. */
  public EngineFleet(WeightLoader weightLoader, RunLog log) {
    this.weightLoader = weightLoader;
    this.log = log;
  }

  /** Adds the engine on {@code host}; must be called before any endpoint is started. */
  public EngineService add(StandinSettings.Engine settings, SimulatedHost host) {
    Engine engine = new Engine(settings, host, engines, weightLoader, Clock.system());
    engines.put(settings.host(), engine);
    return new EngineService(engine, new ChatExecution(engine, log, () -> crash(host)));
  }

  /** State of each engine, including dead ones. */
  public List<EngineState> states() {
    return engines.values().stream().map(Engine::state).toList();
  }

  private static void crash(SimulatedHost host) {
    host.apply(new Fault(host.name(), Fault.Kind.KILL, 1, 0, 0));
    host.apply(new Fault(host.name(), Fault.Kind.HEAL, 1, 0, 0));
  }
}
