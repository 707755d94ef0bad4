package org.limpetring.fleet.node;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.limpetring.fleet.node.FleetWorld.Node;

/**
 * Measures spread, platform calls and bytes for growing fleets in simulated time.
 *
 * <p>Run with {@code -Dlimpet.sizes=9,27,81,330 -Dlimpet.domains=3}.
 */
public final class FleetMeasurement {

  private static final int CHANGES = 20;
  private static final long REST_MS = 60_000;
  private static final long LIMIT_MS = 60_000;
  private static final long NANOS_PER_MS = 1_000_000;

  private FleetMeasurement() {}

  /** Prints one line for each size. */
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
    FleetWorld world = new FleetWorld(domains, size);
    world.apply(1);
    world.startAll(size);
    world.advance(30_000);
    for (Node node : world.list()) {
      if (node.view().roster().daemons().size() != size) {
        throw new IllegalStateException("daemons missing from the roster");
      }
    }
    long bytesBefore = world.bytes;
    long callsBefore = world.platformCalls();
    long startNs = System.nanoTime();
    world.advance(REST_MS);
    double cpu = 100.0 * (System.nanoTime() - startNs) / NANOS_PER_MS / REST_MS / size;
    double callsPerSecond = 1_000.0 * (world.platformCalls() - callsBefore) / REST_MS;
    double bytesPerSecond = 1_000.0 * (world.bytes - bytesBefore) / REST_MS / size;

    List<Long> times = new ArrayList<>();
    callsBefore = world.platformCalls();
    long changesStartMs = world.nowMs();
    for (int change = 2; change < 2 + CHANGES; change++) {
      world.apply(change);
      times.add(world.awaitInForce(change, LIMIT_MS));
      world.advance(3_000);
    }
    double restCalls = callsPerSecond * (world.nowMs() - changesStartMs) / 1_000;
    double callsPerChange = (world.platformCalls() - callsBefore - restCalls) / CHANGES;
    Collections.sort(times);

    world.platform.setDown(true);
    bytesBefore = world.bytes;
    long stale = 0;
    for (int second = 0; second < 30; second++) {
      world.advance(1_000);
      stale += world.list().stream().filter(n -> !n.view().isReady(world.nowMs())).count();
    }
    double outageBytes = (world.bytes - bytesBefore) / 30.0 / size;
    System.out.printf(
        "%d %d (%d,%d) %.1f %.1f %.0f %.0f %d/%d %.3f%n",
        size,
        domains,
        times.get(CHANGES / 2),
        times.get(CHANGES - 1),
        callsPerChange,
        callsPerSecond,
        bytesPerSecond,
        outageBytes,
        stale,
        30L * size,
        cpu);
  }
}
