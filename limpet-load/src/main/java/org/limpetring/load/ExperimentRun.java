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
import org.limpetring.load.check.GuaranteeChecker;
import org.limpetring.load.report.Report;
import org.limpetring.load.report.ReportBuilder;
import org.limpetring.load.report.Sample;
import org.limpetring.load.schedule.Arrival;
import org.limpetring.load.schedule.Experiment;
import org.limpetring.load.schedule.ScheduleBuilder;

/**
 * Runs one experiment: submits its requests in an open loop, performs its steps and builds its
 * report.
 */
final class ExperimentRun {

  private static final long SAMPLE_INTERVAL_MS = 250;
  private static final long PROGRESS_INTERVAL_MS = 5_000;
  private static final long POLL_INTERVAL_MS = 200;

  private final Experiment experiment;
  private final Caller caller;
  private final StandinClient standin;
  private final StepRunner stepRunner;
  private final PrintStream output;
  private final Queue<CallResult> results = new ConcurrentLinkedQueue<>();
  private final Queue<Sample> samples = new ConcurrentLinkedQueue<>();
  private final AtomicLong startedCount = new AtomicLong();
  private final AtomicLong goodCount = new AtomicLong();
  private long startNs;
  private long startWallMs;
  private volatile boolean stepsFinished;

  ExperimentRun(
      Experiment experiment,
      Caller caller,
      StandinClient standin,
      StepRunner stepRunner,
      PrintStream output) {
    this.experiment = experiment;
    this.caller = caller;
    this.standin = standin;
    this.stepRunner = stepRunner;
    this.output = output;
  }

  /** Runs the experiment to its end and returns the report. */
  Report run() throws IOException, InterruptedException {
    awaitServingGroups();
    StandinClient.CallCounts countsBefore = standin.platformCalls();
    startNs = System.nanoTime();
    startWallMs = Clock.wall().nowMs();
    Thread steps = startDaemonThread("steps", this::performSteps);
    Thread sampler = startDaemonThread("sampler", this::collectSamples);
    submitRequests();
    steps.join();
    stepsFinished = true;
    sampler.join();
    StandinClient.CallCounts countsAfter = standin.platformCalls();
    List<CallResult> allResults = List.copyOf(results);
    GuaranteeChecker checker =
        new GuaranteeChecker(experiment, allResults, standin.runLog(), stepRunner.windows());
    return new ReportBuilder(experiment, allResults, startWallMs)
        .build(
            checker.check(),
            stepRunner.marks(),
            List.copyOf(samples),
            countsAfter.reads() - countsBefore.reads(),
            countsAfter.writes() - countsBefore.writes());
  }

  private void awaitServingGroups() throws IOException, InterruptedException {
    long deadlineMs = Clock.system().nowMs() + experiment.waitMs();
    while (true) {
      int groups = Sampler.sample(0, standin.engineStates(), experiment.smallestGroup()).groups();
      if (groups >= experiment.waitGroups()) {
        return;
      }
      if (Clock.system().nowMs() > deadlineMs) {
        throw new IOException(groups + " groups are serving instead of " + experiment.waitGroups());
      }
      Thread.sleep(POLL_INTERVAL_MS);
    }
  }

  private void submitRequests() throws InterruptedException {
    ExecutorService executor = Executors.newCachedThreadPool();
    for (Arrival arrival : new ScheduleBuilder(experiment).arrivals()) {
      long dueNs = startNs + arrival.atMs() * Clock.NANOS_PER_MS;
      sleepUntil(dueNs);
      startedCount.incrementAndGet();
      executor.execute(() -> call(arrival, dueNs));
    }
    sleepUntil(startNs + experiment.durationMs() * Clock.NANOS_PER_MS);
    executor.shutdown();
    if (!executor.awaitTermination(experiment.settleMs(), TimeUnit.MILLISECONDS)) {
      output.println(
          startedCount.get() - results.size() + " requests still in progress, abandoned");
      executor.shutdownNow();
    }
  }

  private void call(Arrival arrival, long dueNs) {
    CallResult result = caller.call(arrival, dueNs, startWallMs + arrival.atMs());
    results.add(result);
    if (result.good()) {
      goodCount.incrementAndGet();
    }
  }

  private void performSteps() {
    for (Experiment.Step step : new ScheduleBuilder(experiment).steps()) {
      sleepUntil(startNs + step.atMs() * Clock.NANOS_PER_MS);
      try {
        stepRunner.run(step, sinceStartMs());
        output.printf("%6d ms %s%n", sinceStartMs(), step.label());
      } catch (IOException | RuntimeException failure) {
        output.printf("%6d ms FAILED %s: %s%n", sinceStartMs(), step.label(), failure);
      }
    }
  }

  private void collectSamples() {
    long nextProgressMs = 0;
    while (!stepsFinished) {
      try {
        samples.add(
            Sampler.sample(sinceStartMs(), standin.engineStates(), experiment.smallestGroup()));
      } catch (IOException failure) {
        output.println("cannot read the engine states: " + failure);
      }
      if (sinceStartMs() >= nextProgressMs) {
        printProgress();
        nextProgressMs += PROGRESS_INTERVAL_MS;
      }
      LockSupport.parkNanos(SAMPLE_INTERVAL_MS * Clock.NANOS_PER_MS);
    }
  }

  private void printProgress() {
    Sample last = null;
    for (Sample sample : samples) {
      last = sample;
    }
    output.printf(
        "%6d ms started %d, ended %d, good %d, whole groups %d%n",
        sinceStartMs(),
        startedCount.get(),
        results.size(),
        goodCount.get(),
        last == null ? 0 : last.groups());
  }

  private long sinceStartMs() {
    return (System.nanoTime() - startNs) / Clock.NANOS_PER_MS;
  }

  private static Thread startDaemonThread(String name, Runnable task) {
    Thread thread = new Thread(task, name);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  private static void sleepUntil(long dueNs) {
    long remainingNs = dueNs - System.nanoTime();
    while (remainingNs > 0) {
      LockSupport.parkNanos(remainingNs);
      remainingNs = dueNs - System.nanoTime();
    }
  }
}
