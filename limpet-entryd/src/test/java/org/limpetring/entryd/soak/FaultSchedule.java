package org.limpetring.entryd.soak;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.limpetring.entryd.StandinUpstream.Fault;

/** Faults from outside the daemons, in series and overlapping, drawn from a seed. */
final class FaultSchedule {

  private static final int MIN_PAUSE_MS = 150;
  private static final int MAX_PAUSE_MS = 700;
  private static final int MIN_FAULT_MS = 200;
  private static final int MAX_FAULT_MS = 2_500;

  private interface Step {
    void run() throws IOException, InterruptedException;
  }

  private final SoakCluster world;
  private final SplittableRandom random;
  private final ScheduledExecutorService timer;
  private final List<String> history = new ArrayList<>();
  private final long startedMs = System.currentTimeMillis();

  FaultSchedule(SoakCluster world, long seed, ScheduledExecutorService timer) {
    this.world = world;
    this.random = new SplittableRandom(seed);
    this.timer = timer;
  }

  /** Injects faults for a time. */
  void run(long ms) throws IOException, InterruptedException {
    long endMs = System.currentTimeMillis() + ms;
    while (System.currentTimeMillis() < endMs) {
      inject();
      TimeUnit.MILLISECONDS.sleep(random.nextInt(MIN_PAUSE_MS, MAX_PAUSE_MS));
    }
  }

  /** What was injected, for a report of a failed seed. */
  synchronized List<String> history() {
    return List.copyOf(history);
  }

  private synchronized void note(String what) {
    history.add((System.currentTimeMillis() - startedMs) + " ms " + what);
  }

  private void inject() throws IOException, InterruptedException {
    long forMs = random.nextInt(MIN_FAULT_MS, MAX_FAULT_MS);
    DaemonProcess daemon = pick(world.daemons);
    switch (random.nextInt(9)) {
      case 0 -> harm("store path", pick(world.storeProxies), forMs);
      case 1, 2 -> harm("upstream path", pick(world.upstreamProxies), forMs);
      case 3 -> {
        note("store down " + forMs);
        world.store.setDown(true);
        after(forMs, () -> world.store.setDown(false));
      }
      case 4 -> {
        note("pause of a daemon " + forMs);
        daemon.signal("STOP");
        after(forMs, () -> daemon.signal("CONT"));
      }
      case 5 -> {
        note("kill of a daemon");
        daemon.kill();
        after(300, daemon::startIfEnded);
      }
      case 6 -> {
        note("planned stop of a daemon");
        daemon.signal("TERM");
        daemon.signal("TERM");
        after(4_000, daemon::startIfEnded);
      }
      case 7 -> {
        note("newer configuration");
        world.configure("k");
      }
      default -> {
        Fault[] faults = Fault.values();
        Fault fault = faults[random.nextInt(faults.length)];
        note("upstream fault " + fault);
        (random.nextBoolean() ? world.engineFault : world.plainFault).set(fault);
      }
    }
  }

  private void harm(String what, LoopbackProxy proxy, long forMs) {
    LoopbackProxy.Mode[] modes = LoopbackProxy.Mode.values();
    LoopbackProxy.Mode mode = modes[1 + random.nextInt(modes.length - 1)];
    note(what + ' ' + mode + ' ' + forMs);
    proxy.set(mode);
    after(forMs, () -> proxy.set(LoopbackProxy.Mode.PASS));
  }

  private void after(long ms, Step step) {
    var unused =
        timer.schedule(
            () -> {
              try {
                step.run();
              } catch (IOException failure) {
                world.violations.add("the soak itself failed: " + failure);
              } catch (InterruptedException stop) {
                Thread.currentThread().interrupt();
              }
            },
            ms,
            TimeUnit.MILLISECONDS);
  }

  private <T> T pick(List<T> things) {
    return things.get(random.nextInt(things.size()));
  }

  /** Ends all faults that still hold. */
  void heal() throws IOException, InterruptedException {
    note("all healed");
    world.store.setDown(false);
    world.engineFault.set(Fault.NONE);
    world.plainFault.set(Fault.NONE);
    for (LoopbackProxy proxy : world.storeProxies) {
      proxy.set(LoopbackProxy.Mode.PASS);
    }
    for (LoopbackProxy proxy : world.upstreamProxies) {
      proxy.set(LoopbackProxy.Mode.PASS);
    }
    for (DaemonProcess daemon : world.daemons) {
      daemon.signal("CONT");
    }
  }
}
