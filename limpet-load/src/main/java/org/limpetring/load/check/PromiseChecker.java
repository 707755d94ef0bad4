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

/** Holds what callers saw against what the upstreams ran. */
public final class PromiseChecker {

  private final Experiment experiment;
  private final List<CallResult> results;
  private final List<RunEntry> log;
  private final List<OutWindow> windows;

  /** Checks one finished experiment. */
  public PromiseChecker(
      Experiment experiment,
      List<CallResult> results,
      List<RunEntry> log,
      List<OutWindow> windows) {
    this.experiment = experiment;
    this.results = List.copyOf(results);
    this.log = List.copyOf(log);
    this.windows = List.copyOf(windows);
  }

  /** All promises that can be checked from outside. */
  public List<Promise> check() {
    return List.of(ownWholeAnswer(), runsOnce(), notRun(), coldBudget(), drained(), nothingCut());
  }

  private Promise ownWholeAnswer() {
    Tally tally = new Tally("every answer is the whole own answer");
    for (CallResult result : results) {
      for (Attempt attempt : result.attempts()) {
        tally.check(
            attempt.end() != Attempt.End.WRONG,
            result.arrival().reference() + ": " + attempt.detail());
      }
    }
    return tally.result("");
  }

  private Promise runsOnce() {
    Map<String, Integer> runs = new HashMap<>();
    for (RunEntry entry : log) {
      if (entry.ran()) {
        runs.merge(entry.reference(), 1, Integer::sum);
      }
    }
    Tally tally = new Tally("a non-idempotent request runs once at most");
    for (CallResult result : results) {
      if (result.arrival().kind().form() == Experiment.Form.ORDER) {
        int count = runs.getOrDefault(result.arrival().reference(), 0);
        tally.check(count <= 1, result.arrival().reference() + " ran " + count + " times");
      }
    }
    return tally.result("");
  }

  private Promise notRun() {
    Set<String> ranRequests = new HashSet<>();
    Set<String> ranReferences = new HashSet<>();
    for (RunEntry entry : log) {
      if (entry.ran()) {
        ranRequests.add(entry.request());
        ranReferences.add(entry.reference());
      }
    }
    Tally tally = new Tally("a request refused as not run did not run");
    for (CallResult result : results) {
      checkNotRun(result, ranRequests, ranReferences, tally);
    }
    return tally.result("");
  }

  private static void checkNotRun(
      CallResult result, Set<String> ranRequests, Set<String> ranReferences, Tally tally) {
    boolean allNotRun = true;
    for (Attempt attempt : result.attempts()) {
      if (attempt.runState() != RunState.NOT_RUN) {
        allNotRun = false;
      } else if (!attempt.request().isEmpty()) {
        tally.check(
            !ranRequests.contains(attempt.request()),
            attempt.request() + " ran, told code " + attempt.code());
      }
    }
    if (allNotRun) {
      String reference = result.arrival().reference();
      tally.check(!ranReferences.contains(reference), reference + " ran");
    }
  }

  private Promise coldBudget() {
    Tally tally = new Tally("a cold upstream gets no more than it can bear");
    int most = 0;
    for (RunEntry entry : log) {
      if (entry.cold() && entry.ran()) {
        most = Math.max(most, entry.running());
        tally.check(
            entry.running() <= experiment.limits().coldBudget(),
            entry.request() + " was number " + entry.running() + " on " + entry.host());
      }
    }
    return tally.result("at most " + most + " at once");
  }

  private Promise drained() {
    Tally tally = new Tally("what was taken out gets no new work");
    long latestMs = 0;
    for (OutWindow window : windows) {
      for (RunEntry entry : log) {
        if (!window.hosts().contains(entry.host()) || !window.contains(entry.arrivedAtMs())) {
          continue;
        }
        long afterMs = entry.arrivedAtMs() - window.outAtMs();
        latestMs = Math.max(latestMs, afterMs);
        tally.check(
            afterMs <= experiment.limits().drainMs(),
            entry.request() + " reached " + entry.host() + " " + afterMs + " ms after the mark");
      }
    }
    return tally.result("last new work " + latestMs + " ms after the mark");
  }

  private Promise nothingCut() {
    Tally tally = new Tally("a planned stop cuts no request");
    if (experiment.hasFaults()) {
      return tally.result("not checked: the experiment has faults too");
    }
    Map<String, CallResult> byReference = new HashMap<>();
    for (CallResult result : results) {
      byReference.put(result.arrival().reference(), result);
    }
    for (OutWindow window : windows) {
      for (RunEntry entry : log) {
        CallResult result = byReference.get(entry.reference());
        if (result != null && window.hosts().contains(entry.host())) {
          checkCut(window, entry, result, tally);
        }
      }
    }
    return tally.result("");
  }

  private static void checkCut(OutWindow window, RunEntry entry, CallResult result, Tally tally) {
    long deadlineMs = result.arrival().kind().deadlineMs();
    boolean late = deadlineMs > 0 && result.totalMs() >= deadlineMs;
    if (entry.ran() && window.contains(entry.endedAtMs()) && !late) {
      tally.check(
          entry.state() != RunEntry.State.CUT,
          entry.request()
              + " was cut on "
              + entry.host()
              + " ("
              + entry.detail()
              + ") "
              + (entry.endedAtMs() - window.outAtMs())
              + " ms after the mark, caller whole: "
              + result.whole());
    }
  }
}
