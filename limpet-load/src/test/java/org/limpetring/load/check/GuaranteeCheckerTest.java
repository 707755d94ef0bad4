package org.limpetring.load.check;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.limpetring.base.RunState;
import org.limpetring.load.call.Attempt;
import org.limpetring.load.call.CallResult;
import org.limpetring.load.schedule.Arrival;
import org.limpetring.load.schedule.Experiment;
import org.limpetring.standin.host.RunEntry;

final class GuaranteeCheckerTest {

  private static final Experiment.Team TEAM = new Experiment.Team("toolroom", "k", 1);
  private static final Experiment.Kind ORDER =
      new Experiment.Kind("order", Experiment.Form.ORDER, "/orders", "", 0, 1, 1, 0);
  private static final Experiment.Phase PHASE = new Experiment.Phase("all", 1_000, 1, true);
  private static final OutOfServiceWindow WINDOW =
      new OutOfServiceWindow("north", Set.of("h"), 1_000, 9_000);

  @Test
  void completedRequestViolatesNoGuarantee() {
    assertThat(violatedGuarantees(result(RunState.RAN, 0), run("q1", "r1", 500, false, 1)))
        .isEmpty();
  }

  @Test
  void secondRunOfANonIdempotentRequestIsDetected() {
    assertThat(
            violatedGuarantees(
                result(RunState.RAN, 0),
                run("q1", "r1", 500, false, 1),
                run("q2", "r1", 600, false, 1)))
        .containsExactly("a non-idempotent request runs once at most");
  }

  @Test
  void runOfARefusedRequestIsDetected() {
    assertThat(violatedGuarantees(result(RunState.NOT_RUN, 2001), run("q1", "r1", 500, false, 1)))
        .containsExactly("a request refused as not run did not run");
  }

  @Test
  void wrongResponseIsDetected() {
    assertThat(violatedGuarantees(result(RunState.UNKNOWN, Attempt.CODE_WRONG)))
        .containsExactly("every answer is the whole own answer");
  }

  @Test
  void workBeyondTheColdBudgetIsDetected() {
    assertThat(violatedGuarantees(result(RunState.RAN, 0), run("q1", "r1", 500, true, 3)))
        .containsExactly("a cold upstream gets no more than it can bear");
  }

  @Test
  void newWorkAfterTheDrainIsDetected() {
    assertThat(violatedGuarantees(result(RunState.RAN, 0), run("q1", "r1", 7_000, false, 1)))
        .containsExactly("what was taken out gets no new work");
    assertThat(violatedGuarantees(result(RunState.RAN, 0), run("q1", "r1", 5_000, false, 1)))
        .isEmpty();
  }

  @Test
  void requestCutByAPlannedStopIsDetected() {
    RunEntry cut = new RunEntry(0, "h", "q1", "r1", false, 1, 900, 4_000, RunEntry.State.CUT, "");
    assertThat(violatedGuarantees(result(RunState.RAN, 0), cut))
        .containsExactly("a planned stop cuts no request");
  }

  private static List<String> violatedGuarantees(CallResult result, RunEntry... log) {
    return new GuaranteeChecker(experiment(), List.of(result), List.of(log), List.of(WINDOW))
        .check().stream()
            .filter(guarantee -> !guarantee.holds())
            .map(GuaranteeResult::name)
            .toList();
  }

  private static RunEntry run(
      String request, String reference, long atMs, boolean cold, int running) {
    return new RunEntry(
        0, "h", request, reference, cold, running, atMs, atMs + 1, RunEntry.State.DONE, "");
  }

  private static CallResult result(RunState runState, int code) {
    Attempt.End end =
        switch (code) {
          case 0 -> Attempt.End.WHOLE;
          case Attempt.CODE_WRONG -> Attempt.End.WRONG;
          default -> Attempt.End.ERROR;
        };
    Attempt attempt = new Attempt("d", "q1", end, code, runState, Attempt.Advice.NEVER, 500, "");
    Arrival arrival = new Arrival(0, 0, TEAM, ORDER, PHASE, "r1", 0);
    return new CallResult(arrival, 500, 1, 1, new long[0], List.of(attempt));
  }

  private static Experiment experiment() {
    return new Experiment(
        "x",
        "",
        1,
        List.of("http://127.0.0.1:1"),
        "",
        "",
        1,
        0,
        0,
        0,
        new Experiment.Limits(5_000, 2),
        new Experiment.RetryPolicy(1, false, 0, false),
        List.of(TEAM),
        List.of(ORDER),
        List.of(PHASE),
        List.of(),
        null);
  }
}
