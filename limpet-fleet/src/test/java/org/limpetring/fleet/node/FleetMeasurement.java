package org.limpetring.fleet.node;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.limpetring.fleet.node.FleetSimulation.Node;

/**
 * Measures propagation time, platform calls and bytes for increasing fleet sizes in simulated time.
 *
 * <p>Run with {@code -Dlimpet.sizes=9,27,81,330 -Dlimpet.domains=3}.
 */
public final class FleetMeasurement {

  private static final int CHANGE_COUNT = 20;
  private static final long IDLE_MS = 60_000;
  private static final long IN_FORCE_TIMEOUT_MS = 60_000;
  private static final long NANOS_PER_MS = 1_000_000;

  private FleetMeasurement() {}

  /** Prints one line per fleet size. */
  public static void main(String[] arguments) {
    int domains = Integer.getInteger("limpet.domains", 3);
    System.out.println(
        "daemons domains inForceMs(median,max) callsPerChange callsPerSecondAtRest"
            + " bytesPerSecondAtRest(mean) bytesPerSecondInOutage(mean) staleInOutage"
            + " hostCpuPercentPerDaemon");
    for (String size : System.getProperty("limpet.sizes", "9,27,81").split(",", -1)) {
      measure(Integer.parseInt(size), domains);
    }
  }

  private static void measure(int size, int domains) {
    FleetSimulation simulation = new FleetSimulation(domains, size);
    simulation.apply(1);
    simulation.startAll(size);
    simulation.advance(30_000);
    for (Node node : simulation.list()) {
      if (node.view().roster().daemons().size() != size) {
        throw new IllegalStateException("daemons missing from the roster");
      }
    }
    long bytesBefore = simulation.bytes;
    long callsBefore = simulation.platformCalls();
    long startNs = System.nanoTime();
    simulation.advance(IDLE_MS);
    double cpu = 100.0 * (System.nanoTime() - startNs) / NANOS_PER_MS / IDLE_MS / size;
    double callsPerSecond = 1_000.0 * (simulation.platformCalls() - callsBefore) / IDLE_MS;
    double bytesPerSecond = 1_000.0 * (simulation.bytes - bytesBefore) / IDLE_MS / size;

    List<Long> times = new ArrayList<>();
    callsBefore = simulation.platformCalls();
    long changesStartMs = simulation.nowMs();
    for (int change = 2; change < 2 + CHANGE_COUNT; change++) {
      simulation.apply(change);
      times.add(simulation.awaitInForce(change, IN_FORCE_TIMEOUT_MS));
      simulation.advance(3_000);
    }
    double idleCalls = callsPerSecond * (simulation.nowMs() - changesStartMs) / 1_000;
    double callsPerChange = (simulation.platformCalls() - callsBefore - idleCalls) / CHANGE_COUNT;
    Collections.sort(times);

    simulation.platform.setDown(true);
    bytesBefore = simulation.bytes;
    long stale = 0;
    for (int second = 0; second < 30; second++) {
      simulation.advance(1_000);
      stale +=
          simulation.list().stream().filter(n -> !n.view().isReady(simulation.nowMs())).count();
    }
    double outageBytes = (simulation.bytes - bytesBefore) / 30.0 / size;
    System.out.printf(
        "%d %d (%d,%d) %.1f %.1f %.0f %.0f %d/%d %.3f%n",
        size,
        domains,
        times.get(CHANGE_COUNT / 2),
        times.get(CHANGE_COUNT - 1),
        callsPerChange,
        callsPerSecond,
        bytesPerSecond,
        outageBytes,
        stale,
        30L * size,
        cpu);
  }
}
