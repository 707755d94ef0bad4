package org.limpetring.entryd.soak;

import static com.google.common.truth.Truth.assertWithMessage;
import static org.awaitility.Awaitility.await;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Daemons as processes under random faults; the promises are checked from what callers and
 * upstreams see.
 *
 * <p>{@code bin/soak FIRST COUNT} plays seeds by hand; the seeds below are played by every run.
 */
final class FaultSoakTest {

  private static final long FAULTS_MS = 9_000;
  private static final int CALLERS = 6;
  private static final List<String> PATHS = List.of("/s/x", "/o/x", "/r/x");

  /** Time after the end of all faults in which each daemon serves again. */
  private static final Duration RECOVERY = Duration.ofSeconds(12);

  /** Time in which a configuration is in force everywhere. */
  private static final Duration IN_FORCE = Duration.ofSeconds(2);

  private final AtomicInteger ids = new AtomicInteger();

  static LongStream seeds() {
    String asked = System.getProperty("soak.seeds", "1,2");
    return List.of(asked.split(",", -1)).stream().mapToLong(Long::parseLong);
  }

  @ParameterizedTest
  @MethodSource("seeds")
  void promisesHold(long seed) throws Exception {
    Path directory = Files.createTempDirectory("soak-" + seed + "-");
    ScheduledExecutorService timer = Executors.newScheduledThreadPool(2);
    AtomicBoolean isOver = new AtomicBoolean();
    List<Thread> callers = new ArrayList<>();
    try (SoakCluster world = new SoakCluster(directory)) {
      FaultSchedule faults = new FaultSchedule(world, seed, timer);
      awaitServing(world, "k", "start");
      for (int i = 0; i < CALLERS; i++) {
        Thread caller = new Thread(new Calls(world, seed * 100 + i, isOver), "caller-" + i);
        caller.start();
        callers.add(caller);
      }
      faults.run(FAULTS_MS);
      faults.heal();
      int before = world.answered.get();
      awaitServing(world, "k", "seed " + seed + ": " + faults.history() + " in " + directory);
      isOver.set(true);
      for (Thread caller : callers) {
        caller.join();
      }
      checkNewKey(world);
      world.checkRuns();
      assertWithMessage("seed %s, logs in %s, faults %s", seed, directory, faults.history())
          .that(world.violations)
          .isEmpty();
      assertWithMessage("answers after the faults").that(world.answered.get()).isAtLeast(before);
    } finally {
      isOver.set(true);
      timer.shutdownNow();
    }
  }

  private void awaitServing(SoakCluster world, String key, String what) {
    for (DaemonProcess daemon : world.daemons) {
      await(what)
          .atMost(RECOVERY)
          .pollInterval(Duration.ofMillis(100))
          .until(
              () -> {
                daemon.startIfEnded();
                return status(daemon, "/s/x", key) == 200 && status(daemon, "/r/x", key) == 200;
              });
    }
  }

  /** Status of one request, or 0 without a whole answer. */
  private int status(DaemonProcess daemon, String path, String key) {
    try (Caller caller = new Caller(daemon.callerPort())) {
      return caller.ask(path, "check-" + ids.incrementAndGet(), key).status();
    } catch (IOException noAnswer) {
      return 0;
    }
  }

  private void checkNewKey(SoakCluster world) {
    world.configure("next");
    for (DaemonProcess daemon : world.daemons) {
      await("old key refused").atMost(IN_FORCE).until(() -> status(daemon, "/r/x", "k") == 401);
      await("new key taken").atMost(IN_FORCE).until(() -> status(daemon, "/r/x", "next") == 200);
    }
  }

  /** One caller: keeps its connection until it breaks, then goes to another daemon. */
  private static final class Calls implements Runnable {

    private final SoakCluster world;
    private final SplittableRandom random;
    private final AtomicBoolean isOver;
    private final String name;
    private int asked;

    Calls(SoakCluster world, long seed, AtomicBoolean isOver) {
      this.world = world;
      this.random = new SplittableRandom(seed);
      this.isOver = isOver;
      this.name = "q" + seed + '-';
    }

    @Override
    public void run() {
      while (!isOver.get()) {
        DaemonProcess daemon = world.daemons.get(random.nextInt(world.daemons.size()));
        try (Caller caller = new Caller(daemon.callerPort())) {
          boolean isKept = true;
          while (isKept && !isOver.get()) {
            String path = PATHS.get(random.nextInt(PATHS.size()));
            String id = name + asked++;
            Caller.Answer answer = caller.ask(path, id, "k");
            world.onAnswer(path, id, answer);
            isKept = !"close".equals(answer.headers().get("connection"));
          }
        } catch (IOException noAnswer) {
          // a closed connection promises nothing
        }
      }
    }
  }
}
