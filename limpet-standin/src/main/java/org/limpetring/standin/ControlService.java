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

/** Injects faults and serves the request log, on a socket that is exempt from all faults. */
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
      case "/faults" -> applyFault(exchange);
      case "/log" ->
          exchange.respond(
              200,
              new LogResponse(
                  Clock.wall().nowMs(),
                  log.entries(exchange.queryParameterAsLong("first", 0), PAGE_SIZE)));
      case "/state" ->
          exchange.respond(200, new StateResponse(Clock.wall().nowMs(), fleet.states()));
      case "/calls" -> sendCallCounts(exchange);
      default -> exchange.respond(404, new ErrorResponse("no such path"));
    }
  }

  private void applyFault(Exchange exchange) throws IOException {
    Fault fault = Json.read(exchange.body(), Fault.class);
    List<SimulatedHost> matchingHosts =
        hosts.stream().filter(host -> host.isTargetedBy(fault.target())).toList();
    if (matchingHosts.isEmpty()) {
      exchange.respond(404, new ErrorResponse("no such target: " + fault.target()));
      return;
    }
    matchingHosts.forEach(host -> host.apply(fault));
    exchange.respond(200, new FaultResponse(matchingHosts.size(), Clock.wall().nowMs()));
  }

  private void sendCallCounts(Exchange exchange) throws IOException {
    if (platform == null) {
      exchange.respond(404, new ErrorResponse("no platform here"));
    } else {
      exchange.respond(200, platform.calls());
    }
  }

  private record LogResponse(long nowMs, List<RunEntry> entries) {}

  private record StateResponse(long nowMs, List<EngineState> engines) {}

  private record FaultResponse(int hosts, long atMs) {}

  private record ErrorResponse(String error) {}
}
