package org.limpetring.load.check;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.limpetring.base.RunState;
import org.limpetring.load.call.Attempt;
import org.limpetring.load.call.CallResult;
import org.limpetring.load.schedule.Experiment;
import org.limpetring.standin.host.RunEntry;

/** Compares the results that callers received with the log of runs on the upstreams. */
public final class GuaranteeChecker {

  private final Experiment experiment;
  private final List<CallResult> results;
  private final List<RunEntry> runLog;
  private final List<OutOfServiceWindow> windows;

  /** Creates a checker for one finished experiment. */
  public GuaranteeChecker(
      Experiment experiment,
      List<CallResult> results,
      List<RunEntry> runLog,
      List<OutOfServiceWindow> windows) {
    this.experiment = experiment;
    this.results = List.copyOf(results);
    this.runLog = List.copyOf(runLog);
    this.windows = List.copyOf(windows);
  }

  /** Checks all guarantees that can be verified from outside. */
  public List<GuaranteeResult> check() {
    return List.of(
        completeOwnResponse(),
        nonIdempotentRunsOnce(),
        refusedDidNotRun(),
        coldConcurrencyBounded(),
        noNewWorkOutOfService(),
        plannedStopCutsNothing());
  }

  private GuaranteeResult completeOwnResponse() {
    ViolationCounter counter = new ViolationCounter("every answer is the whole own answer");
    for (CallResult result : results) {
      for (Attempt attempt : result.attempts()) {
        counter.check(
            attempt.end() != Attempt.End.WRONG,
            result.arrival().reference() + ": " + attempt.detail());
      }
    }
    return counter.result("");
  }

  private GuaranteeResult nonIdempotentRunsOnce() {
    Map<String, Integer> runsByReference = new HashMap<>();
    for (RunEntry entry : runLog) {
      if (entry.ran()) {
        runsByReference.merge(entry.reference(), 1, Integer::sum);
      }
    }
    ViolationCounter counter = new ViolationCounter("a non-idempotent request runs once at most");
    for (CallResult result : results) {
      if (result.arrival().kind().form() == Experiment.Form.ORDER) {
        int count = runsByReference.getOrDefault(result.arrival().reference(), 0);
        counter.check(count <= 1, result.arrival().reference() + " ran " + count + " times");
      }
    }
    return counter.result("");
  }

  private GuaranteeResult refusedDidNotRun() {
    Set<String> ranRequests = new HashSet<>();
    Set<String> ranReferences = new HashSet<>();
    for (RunEntry entry : runLog) {
      if (entry.ran()) {
        ranRequests.add(entry.request());
        ranReferences.add(entry.reference());
      }
    }
    ViolationCounter counter = new ViolationCounter("a request refused as not run did not run");
    for (CallResult result : results) {
      checkRefused(result, ranRequests, ranReferences, counter);
    }
    return counter.result("");
  }

  private static void checkRefused(
      CallResult result,
      Set<String> ranRequests,
      Set<String> ranReferences,
      ViolationCounter counter) {
    boolean allNotRun = true;
    for (Attempt attempt : result.attempts()) {
      if (attempt.runState() != RunState.NOT_RUN) {
        allNotRun = false;
      } else if (!attempt.requestId().isEmpty()) {
        counter.check(
            !ranRequests.contains(attempt.requestId()),
            attempt.requestId() + " ran, but was refused with code " + attempt.code());
      }
    }
    if (allNotRun) {
      String reference = result.arrival().reference();
      counter.check(!ranReferences.contains(reference), reference + " ran");
    }
  }

  private GuaranteeResult coldConcurrencyBounded() {
    ViolationCounter counter =
        new ViolationCounter("a cold upstream gets no more than it can bear");
    int maxRunning = 0;
    for (RunEntry entry : runLog) {
      if (entry.cold() && entry.ran()) {
        maxRunning = Math.max(maxRunning, entry.running());
        counter.check(
            entry.running() <= experiment.limits().coldBudget(),
            entry.request() + " was concurrent request " + entry.running() + " on " + entry.host());
      }
    }
    return counter.result("at most " + maxRunning + " at once");
  }

  private GuaranteeResult noNewWorkOutOfService() {
    ViolationCounter counter = new ViolationCounter("what was taken out gets no new work");
    long maxDelayMs = 0;
    for (OutOfServiceWindow window : windows) {
      for (RunEntry entry : runLog) {
        if (!window.hosts().contains(entry.host()) || !window.contains(entry.arrivedAtMs())) {
          continue;
        }
        long delayMs = entry.arrivedAtMs() - window.startMs();
        maxDelayMs = Math.max(maxDelayMs, delayMs);
        counter.check(
            delayMs <= experiment.limits().drainMs(),
            entry.request() + " reached " + entry.host() + " " + delayMs + " ms after the mark");
      }
    }
    return counter.result("last new work " + maxDelayMs + " ms after the mark");
  }

  private GuaranteeResult plannedStopCutsNothing() {
    ViolationCounter counter = new ViolationCounter("a planned stop cuts no request");
    if (experiment.hasFaults()) {
      return counter.result("not checked: the experiment has faults too");
    }
    Map<String, CallResult> byReference = new HashMap<>();
    for (CallResult result : results) {
      byReference.put(result.arrival().reference(), result);
    }
    for (OutOfServiceWindow window : windows) {
      for (RunEntry entry : runLog) {
        CallResult result = byReference.get(entry.reference());
        if (result != null && window.hosts().contains(entry.host())) {
          checkCut(window, entry, result, counter);
        }
      }
    }
    return counter.result("");
  }

  private static void checkCut(
      OutOfServiceWindow window, RunEntry entry, CallResult result, ViolationCounter counter) {
    long deadlineMs = result.arrival().kind().deadlineMs();
    boolean pastDeadline = deadlineMs > 0 && result.totalMs() >= deadlineMs;
    if (entry.ran() && window.contains(entry.endedAtMs()) && !pastDeadline) {
      counter.check(
          entry.state() != RunEntry.State.CUT,
          entry.request()
              + " was cut on "
              + entry.host()
              + " ("
              + entry.detail()
              + ") "
              + (entry.endedAtMs() - window.startMs())
              + " ms after the mark, complete response at the caller: "
              + result.complete());
    }
  }
}
