package org.limpetring.entry.peer;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.limpetring.entry.peer.AnnouncementSchedule.Recipients;

final class AnnouncementScheduleTest {

  private static int told(
      AnnouncementSchedule schedule, boolean isPlanner, boolean isHeard, int daemons) {
    int datagrams = 0;
    schedule.next(isPlanner, isHeard, daemons, 0);
    for (long nowMs = 3_000; nowMs < 4_000; nowMs += 50) {
      Recipients audience = schedule.next(isPlanner, isHeard, daemons, nowMs);
      datagrams +=
          switch (audience) {
            case NONE -> 0;
            case PLANNER -> 1;
            case SUBSET -> Math.min(daemons - 1, AnnouncementSchedule.FANOUT);
            case ALL -> daemons - 1;
          };
    }
    return datagrams;
  }

  @Test
  void aDaemonsDatagramsDoNotGrowWithTheFleet() {
    assertThat(told(new AnnouncementSchedule(), false, true, 330)).isAtMost(7);
  }

  @Test
  void thePlannersDatagramsGrowWithTheFleetOnly() {
    assertThat(told(new AnnouncementSchedule(), true, true, 330)).isAtMost(4 * 329);
  }

  /** Others may not have listed it yet, and would not count it among those that they hear. */
  @Test
  void aDaemonThatHasJustStartedTellsOthers() {
    assertThat(new AnnouncementSchedule().next(false, true, 80, 0)).isEqualTo(Recipients.SUBSET);
  }

  @Test
  void daemonsTellEachOtherWhileNoPlannerIsHeard() {
    assertThat(new AnnouncementSchedule().next(false, false, 80, 0)).isEqualTo(Recipients.SUBSET);
  }

  /**
   * Grown dol-dress trouble-1: eighty daemons without a planner told each other 21,000 times a
   * second, and the day took more processor time than it may.
   */
  @Test
  void aDaemonsDatagramsAreBoundedWithoutAPlannerToo() {
    assertThat(told(new AnnouncementSchedule(), false, false, 330))
        .isAtMost(4 * AnnouncementSchedule.FANOUT);
  }

  @Test
  void thePlannerIsMissedBeforeItsSilenceEndsItsTerm() {
    for (int daemons : new int[] {3, 9, 80, 330}) {
      assertThat(
              AnnouncementSchedule.plannerSilenceMs(daemons)
                  + AnnouncementSchedule.intervalMs(daemons))
          .isLessThan(PlannerSilence.MS + 100);
    }
  }

  /** Time after which the first in line takes the role. */
  private static final class PlannerSilence {
    static final long MS = 900;
  }
}
