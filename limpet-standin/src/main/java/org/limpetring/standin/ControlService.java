package org.limpetring.standin;

import java.io.IOException;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.limpetring.base.Clock;
import org.limpetring.standin.engine.EngineFleet;
import org.limpetring.standin.engine.EngineState;
import org.limpetring.standin.host.Fault;
import org.limpetring.standin.host.RunEntry;
import org.limpetring.standin.host.RunLog;
import org.limpetring.standin.host.SimulatedHost;
import org.limpetring.standin.http.Exchange;
import org.limpetring.standin.http.Json;
import org.limpetring.standin.http.Service;
import org.limpetring.standin.platform.PlatformService;

/** Takes faults and serves the log, on a socket that no fault touches. */
final class ControlService implements Service {

  private static final int PAGE_SIZE = 20_000;

  private final List<SimulatedHost> hosts;
  private final RunLog log;
  private final EngineFleet fleet;
  private final @Nullable PlatformService platform;

  ControlService(
      List<SimulatedHost> hosts,
      RunLog log,
      EngineFleet fleet,
      @Nullable PlatformService platform) {
    this.hosts = List.copyOf(hosts);
    this.log = log;
    this.fleet = fleet;
    this.platform = platform;
  }

  @Override
  public void handle(Exchange exchange) throws IOException {
    switch (exchange.path()) {
      case "/faults" -> fault(exchange);
      case "/log" ->
          exchange.answer(
              200,
              new LogAnswer(
                  Clock.wall().nowMs(), log.entries(exchange.queryLong("first", 0), PAGE_SIZE)));
      case "/state" -> exchange.answer(200, new StateAnswer(Clock.wall().nowMs(), fleet.states()));
      case "/calls" -> calls(exchange);
      default -> exchange.answer(404, new Refusal("no such path"));
    }
  }

  private void fault(Exchange exchange) throws IOException {
    Fault fault = Json.read(exchange.body(), Fault.class);
    List<SimulatedHost> hit = hosts.stream().filter(host -> host.isIn(fault.target())).toList();
    if (hit.isEmpty()) {
      exchange.answer(404, new Refusal("no such target: " + fault.target()));
      return;
    }
    hit.forEach(host -> host.apply(fault));
    exchange.answer(200, new FaultAnswer(hit.size(), Clock.wall().nowMs()));
  }

  private void calls(Exchange exchange) throws IOException {
    if (platform == null) {
      exchange.answer(404, new Refusal("no platform here"));
    } else {
      exchange.answer(200, platform.calls());
    }
  }

  private record LogAnswer(long nowMs, List<RunEntry> entries) {}

  private record StateAnswer(long nowMs, List<EngineState> engines) {}

  private record FaultAnswer(int hosts, long atMs) {}

  private record Refusal(String error) {}
}
