package org.limpetring.routing.poison;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.limpetring.base.FailureDomain;
import org.limpetring.base.GroupId;
import org.limpetring.base.HostId;
import org.limpetring.base.ManualClock;
import org.limpetring.base.PoolName;
import org.limpetring.groups.ServingGroup;

final class PoisonTrackerTest {

  private static final int DAEMONS = 5;
  private static final int DISPATCHES = 60;
  private static final int REQUESTS = 4;

  private final ManualClock clock = new ManualClock(0);

  /**
   * Sends each request repeatedly through random daemons; every second request crashes the upstream
   * that runs it.
   */
  @Property(tries = 1_000, seed = "6")
  void oneRequestCrashesAtMostTwoUpstreams(@ForAll long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    List<PoisonTracker> trackers = trackers();
    int[] crashes = new int[REQUESTS];
    int[] successes = new int[REQUESTS];
    for (int dispatch = 0; dispatch < DISPATCHES; dispatch++) {
      int request = random.nextInt(REQUESTS);
      boolean isCrashing = request % 2 == 0;
      PoisonTracker tracker = trackers.get(random.nextInt(DAEMONS));
      PoisonTracker.Verdict verdict = tracker.begin(fingerprint(request));
      if (verdict == PoisonTracker.Verdict.POISON) {
        assertWithMessage("refused").that(isCrashing).isTrue();
        continue;
      }
      assertThat(verdict).isNotEqualTo(PoisonTracker.Verdict.WAIT);
      tracker.end(fingerprint(request));
      Optional<CrashNotice> notice;
      if (isCrashing) {
        crashes[request]++;
        notice = Optional.of(tracker.recordCrash(fingerprint(request), group(dispatch)));
      } else {
        successes[request]++;
        notice = tracker.recordSuccess(fingerprint(request));
      }
      notice.ifPresent(crash -> deliver(crash, trackers, random));
    }
    for (int request = 0; request < REQUESTS; request++) {
      assertThat(crashes[request]).isAtMost(PoisonTracker.MAX_CRASHES);
    }
  }

  @Test
  void hostFailureWithManyRequestsInProgressMakesNonePoison() {
    List<PoisonTracker> trackers = trackers();
    ServingGroup lost = group(1);
    for (int request = 0; request < 100; request++) {
      CrashNotice notice = trackers.get(0).recordCrash(fingerprint(request), lost);
      trackers.get(1).merge(notice);
      assertThat(trackers.get(1).recordCrash(fingerprint(request), lost).lives()).hasSize(1);
      assertThat(trackers.get(1).begin(fingerprint(request)))
          .isEqualTo(PoisonTracker.Verdict.EXCLUSIVE);
      assertThat(trackers.get(1).begin(fingerprint(request))).isEqualTo(PoisonTracker.Verdict.WAIT);
      trackers.get(1).end(fingerprint(request));
      CrashNotice cleared = trackers.get(1).recordSuccess(fingerprint(request)).orElseThrow();
      assertThat(trackers.get(0).merge(cleared)).isTrue();
      assertThat(trackers.get(0).begin(fingerprint(request))).isEqualTo(PoisonTracker.Verdict.FREE);
    }
  }

  @Test
  void crashUnknownToTheClearingDaemonKeepsTheSuspicion() {
    List<PoisonTracker> trackers = trackers();
    Fingerprint request = fingerprint(0);
    CrashNotice first = trackers.get(0).recordCrash(request, group(1));
    trackers.get(1).merge(first);
    CrashNotice cleared = trackers.get(1).recordSuccess(request).orElseThrow();
    trackers.get(0).recordCrash(request, group(2));
    trackers.get(0).merge(cleared);
    assertThat(trackers.get(0).begin(request)).isEqualTo(PoisonTracker.Verdict.POISON);
  }

  /** Delivers a notice to all daemons, out of order and partly more than once. */
  private static void deliver(
      CrashNotice notice, List<PoisonTracker> trackers, SplittableRandom random) {
    for (PoisonTracker tracker : trackers) {
      tracker.merge(notice);
      if (random.nextInt(3) == 0) {
        trackers.get(random.nextInt(DAEMONS)).notices().forEach(tracker::merge);
      }
    }
  }

  private List<PoisonTracker> trackers() {
    List<PoisonTracker> trackers = new ArrayList<>();
    for (int daemon = 0; daemon < DAEMONS; daemon++) {
      trackers.add(new PoisonTracker(1_000, clock));
    }
    return trackers;
  }

  private static Fingerprint fingerprint(int request) {
    return Fingerprint.of(new PoolName("p"), "POST", "/v1", new byte[] {(byte) request});
  }

  private static ServingGroup group(int number) {
    return new ServingGroup(
        new GroupId("g" + number),
        new PoolName("p"),
        1,
        List.of(new HostId("h" + number)),
        "127.0.0.1:1",
        new FailureDomain("a"),
        "i",
        false,
        0);
  }
}
