package org.limpetring.entry.place;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.ToDoubleFunction;
import org.junit.jupiter.api.Test;
import org.limpetring.entry.TestData;
import org.limpetring.entry.model.EngineSpec;
import org.limpetring.entry.model.ModelSpec;

final class AdmissionTest {

  private static final EngineSpec ENGINE = TestData.engine();
  private static final ModelSpec MODEL = ENGINE.models().get(0);

  private static Endpoint place(String id, int inFlight) {
    Endpoint place = new Endpoint(id, TestData.host(id, 1, "large", null), ENGINE, MODEL);
    place.setPeerInFlight(inFlight);
    return place;
  }

  private static Demand demand(boolean isCallerRetry) {
    return new Demand(1, 1_000, isCallerRetry ? -100 : 300, 5_000, isCallerRetry, 0);
  }

  private static Verdict decide(Demand demand, List<Endpoint> places, int ahead) {
    return decide(demand, places, ahead, place -> 0, 0);
  }

  private static Verdict decide(
      Demand demand,
      List<Endpoint> places,
      int ahead,
      ToDoubleFunction<Endpoint> extraMs,
      long nowMs) {
    return Admission.decide(
        demand,
        new Admission.AdmissionContext(places, ahead, 3, extraMs, new SplittableRandom(7)),
        nowMs);
  }

  @Test
  void theEmptierGroupIsTaken() {
    Endpoint busy = place("busy", 12);
    Endpoint idle = place("idle", 2);
    assertThat(decide(demand(false), List.of(busy, idle), 0)).isEqualTo(new Verdict.Send(idle));
  }

  @Test
  void aNearerGroupIsTakenWhereBothAreIdle() {
    Endpoint far = place("far", 0);
    Endpoint near = place("near", 0);
    Verdict verdict = decide(demand(false), List.of(far, near), 0, each -> each == far ? 12 : 0, 0);
    assertThat(verdict).isEqualTo(new Verdict.Send(near));
  }

  @Test
  void nothingServesIsRefusedAtOnceWithAPause() {
    Verdict verdict = decide(demand(false), List.of(), 0);
    assertThat(verdict).isInstanceOf(Verdict.Refuse.class);
    assertThat(((Verdict.Refuse) verdict).retryAfterMs()).isGreaterThan(0);
  }

  /** All places are taken and many wait: a place comes too late to be on time. */
  @Test
  void theHopelessIsRefusedAtOnceUnderOverload() {
    List<Endpoint> full = List.of(place("a", 18), place("b", 18));
    assertThat(decide(demand(false), full, 40)).isInstanceOf(Verdict.Refuse.class);
  }

  @Test
  void aShortWaitIsTakenWhilePlacesFreeUpQuickly() {
    List<Endpoint> full =
        List.of(place("a", 18), place("b", 18), place("c", 18), place("d", 18), place("e", 18));
    assertThat(decide(demand(false), full, 0)).isInstanceOf(Verdict.Wait.class);
  }

  @Test
  void whoCameBackAfterARefusalWaitsLongerThanANewArrivalMay() {
    List<Endpoint> full = List.of(place("a", 18), place("b", 18));
    Verdict verdict = decide(demand(true), full, 2);
    assertThat(verdict).isInstanceOf(Verdict.Wait.class);
    assertThat(((Verdict.Wait) verdict).untilMs()).isGreaterThan(demand(false).onTimeDeadlineMs());
  }

  @Test
  void aSuspectedOrRestingPlaceGetsNothing() {
    Endpoint suspected = place("s", 0);
    suspected.suspectUntil(100);
    Endpoint failing = place("f", 0);
    for (int i = 0; i < 10; i++) {
      failing.onOutcome(false, 0);
    }
    assertThat(decide(demand(false), List.of(suspected, failing), 0))
        .isNotInstanceOf(Verdict.Send.class);
    assertThat(decide(demand(false), List.of(suspected), 0, each -> 0, 101))
        .isEqualTo(new Verdict.Send(suspected));
  }

  /**
   * Eighty daemons learn each other's load once in 200 ms, and each sends one request meanwhile.
   * Were all to take the group that looked best, its queue would hold them until they are late.
   */
  @Test
  void daemonsThatKnowOldLoadsDoNotAllTakeTheSameGroup() {
    List<Endpoint> groups = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      groups.add(place("g" + i, i == 0 ? 2 : 6));
    }
    SplittableRandom random = new SplittableRandom(11);
    Map<Endpoint, Integer> sent = new HashMap<>();
    for (int daemon = 0; daemon < 80; daemon++) {
      Verdict verdict =
          Admission.decide(
              demand(false), new Admission.AdmissionContext(groups, 0, 80, each -> 0, random), 0);
      sent.merge(((Verdict.Send) verdict).place(), 1, Integer::sum);
    }
    for (Endpoint group : groups) {
      assertThat(group.inFlight() + sent.getOrDefault(group, 0)).isAtMost(group.slots());
    }
  }

  @Test
  void waitingRequestsAreOrderedByRankThenTimeLeft() {
    WaitQueue<String> queue = new WaitQueue<>();
    queue.add(new Demand(1, 0, 900, 0, false, 0), "late limit");
    queue.add(new Demand(1, 0, 300, 0, false, 0), "early limit");
    queue.add(new Demand(0, 0, 900, 0, false, 0), "high rank");
    queue.add(new Demand(1, 0, 100, 0, true, 0), "returned");
    assertThat(queue.inOrder().stream().map(WaitQueue.Waiting::request).toList())
        .containsExactly("high rank", "early limit", "late limit", "returned")
        .inOrder();
  }
}
