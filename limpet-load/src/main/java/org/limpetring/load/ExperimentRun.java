package org.limpetring.load;

import java.io.IOException;
import java.io.PrintStream;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import org.limpetring.base.Clock;
import org.limpetring.load.call.CallResult;
import org.limpetring.load.call.Caller;
import org.limpetring.load.check.PromiseChecker;
import org.limpetring.load.report.Report;
import org.limpetring.load.report.ReportBuilder;
import org.limpetring.load.report.Sample;
import org.limpetring.load.schedule.Arrival;
import org.limpetring.load.schedule.Experiment;
import org.limpetring.load.schedule.ScheduleBuilder;

/** Runs one experiment: offers its load in open loop, performs its steps, and gives its report. */
final class ExperimentRun {

  private static final long SAMPLE_EVERY_MS = 250;
  private static final long PROGRESS_EVERY_MS = 5_000;
  private static final long POLL_MS = 200;

  private final Experiment experiment;
  private final Caller caller;
  private final StandinClient standin;
  private final StepRunner stepRunner;
  private final PrintStream out;
  private final Queue<CallResult> results = new ConcurrentLinkedQueue<>();
  private final Queue<Sample> samples = new ConcurrentLinkedQueue<>();
  private final AtomicLong started = new AtomicLong();
  private final AtomicLong good = new AtomicLong();
  private long startNs;
  private long startWallMs;
  private volatile boolean finished;

  ExperimentRun(
      Experiment experiment,
      Caller caller,
      StandinClient standin,
      StepRunner stepRunner,
      PrintStream out) {
    this.experiment = experiment;
    this.caller = caller;
    this.standin = standin;
    this.stepRunner = stepRunner;
    this.out = out;
  }

  /** Runs to the end. */
  Report run() throws IOException, InterruptedException {
    waitForGroups();
    StandinClient.CallCounts before = standin.calls();
    startNs = System.nanoTime();
    startWallMs = Clock.wall().nowMs();
    Thread steps = start("steps", this::performSteps);
    Thread sampler = start("sampler", this::takeSamples);
    offerLoad();
    steps.join();
    finished = true;
    sampler.join();
    StandinClient.CallCounts after = standin.calls();
    List<CallResult> all = List.copyOf(results);
    PromiseChecker checker =
        new PromiseChecker(experiment, all, standin.log(), stepRunner.windows());
    return new ReportBuilder(experiment, all, startWallMs)
        .build(
            checker.check(),
            stepRunner.marks(),
            List.copyOf(samples),
            after.reads() - before.reads(),
            after.writes() - before.writes());
  }

  private void waitForGroups() throws IOException, InterruptedException {
    long endMs = Clock.system().nowMs() + experiment.waitMs();
    while (true) {
      int groups = Sampler.sample(0, standin.states(), experiment.smallestGroup()).groups();
      if (groups >= experiment.waitGroups()) {
        return;
      }
      if (Clock.system().nowMs() > endMs) {
        throw new IOException(groups + " groups serve instead of " + experiment.waitGroups());
      }
      Thread.sleep(POLL_MS);
    }
  }

  private void offerLoad() throws InterruptedException {
    ExecutorService callers = Executors.newCachedThreadPool();
    for (Arrival arrival : new ScheduleBuilder(experiment).arrivals()) {
      long dueNs = startNs + arrival.atMs() * Clock.NANOS_PER_MS;
      sleepUntil(dueNs);
      started.incrementAndGet();
      callers.execute(() -> call(arrival, dueNs));
    }
    sleepUntil(startNs + experiment.durationMs() * Clock.NANOS_PER_MS);
    callers.shutdown();
    if (!callers.awaitTermination(experiment.settleMs(), TimeUnit.MILLISECONDS)) {
      out.println(started.get() - results.size() + " requests without an end, given up");
      callers.shutdownNow();
    }
  }

  private void call(Arrival arrival, long dueNs) {
    CallResult result = caller.call(arrival, dueNs, startWallMs + arrival.atMs());
    results.add(result);
    if (result.good()) {
      good.incrementAndGet();
    }
  }

  private void performSteps() {
    for (Experiment.Step step : new ScheduleBuilder(experiment).steps()) {
      sleepUntil(startNs + step.atMs() * Clock.NANOS_PER_MS);
      try {
        stepRunner.run(step, sinceStartMs());
        out.printf("%6d ms %s%n", sinceStartMs(), step.label());
      } catch (IOException | RuntimeException failure) {
        out.printf("%6d ms FAILED %s: %s%n", sinceStartMs(), step.label(), failure);
      }
    }
  }

  private void takeSamples() {
    long nextProgressMs = 0;
    while (!finished) {
      try {
        samples.add(Sampler.sample(sinceStartMs(), standin.states(), experiment.smallestGroup()));
      } catch (IOException failure) {
        out.println("no sample: " + failure);
      }
      if (sinceStartMs() >= nextProgressMs) {
        progress();
        nextProgressMs += PROGRESS_EVERY_MS;
      }
      LockSupport.parkNanos(SAMPLE_EVERY_MS * Clock.NANOS_PER_MS);
    }
  }

  private void progress() {
    Sample last = null;
    for (Sample sample : samples) {
      last = sample;
    }
    out.printf(
        "%6d ms started %d, ended %d, good %d, whole groups %d%n",
        sinceStartMs(),
        started.get(),
        results.size(),
        good.get(),
        last == null ? 0 : last.groups());
  }

  private long sinceStartMs() {
    return (System.nanoTime() - startNs) / Clock.NANOS_PER_MS;
  }

  private static Thread start(String name, Runnable task) {
    Thread thread = new Thread(task, name);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  private static void sleepUntil(long dueNs) {
    long leftNs = dueNs - System.nanoTime();
    while (leftNs > 0) {
      LockSupport.parkNanos(leftNs);
      leftNs = dueNs - System.nanoTime();
    }
  }
}
