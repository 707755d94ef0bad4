package org.limpetring.entry.peer;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.limpetring.entry.peer.AnnouncementSchedule.Recipients;

final class AnnouncementScheduleTest {

  private static int datagramsPerSecond(
      AnnouncementSchedule schedule, boolean isPlanner, boolean isPlannerAlive, int daemons) {
    int datagrams = 0;
    schedule.next(isPlanner, isPlannerAlive, daemons, 0);
    for (long nowMs = 3_000; nowMs < 4_000; nowMs += 50) {
      Recipients recipients = schedule.next(isPlanner, isPlannerAlive, daemons, nowMs);
      datagrams +=
          switch (recipients) {
            case NONE -> 0;
            case PLANNER -> 1;
            case SUBSET -> Math.min(daemons - 1, AnnouncementSchedule.FANOUT);
            case ALL -> daemons - 1;
          };
    }
    return datagrams;
  }

  @Test
  void datagramsOfADaemonDoNotGrowWithTheFleet() {
    assertThat(datagramsPerSecond(new AnnouncementSchedule(), false, true, 330)).isAtMost(7);
  }

  @Test
  void datagramsOfThePlannerGrowLinearlyWithTheFleet() {
    assertThat(datagramsPerSecond(new AnnouncementSchedule(), true, true, 330)).isAtMost(4 * 329);
  }

  /** Crashes in quick succession make each tick bring news. */
  @Test
  void newsOfThePlannerAtMostDoublesItsDatagrams() {
    AnnouncementSchedule schedule = new AnnouncementSchedule();
    int announcements = 0;
    for (long nowMs = 0; nowMs < 1_000; nowMs += 50) {
      schedule.expedite();
      announcements += schedule.next(true, true, 95, nowMs) == Recipients.ALL ? 1 : 0;
    }
    assertThat(announcements).isAtLeast(5);
    assertThat(announcements).isAtMost(9);
  }

  /** Other daemons may not have listed it yet and would not count it as alive. */
  @Test
  void startedDaemonAnnouncesItselfToOthers() {
    assertThat(new AnnouncementSchedule().next(false, true, 80, 0)).isEqualTo(Recipients.SUBSET);
  }

  @Test
  void daemonsAnnounceToEachOtherWithoutAPlanner() {
    assertThat(new AnnouncementSchedule().next(false, false, 80, 0)).isEqualTo(Recipients.SUBSET);
  }

  /**
   * Guards against all-to-all announcements without a planner: 80 daemons sent 21,000 datagrams per
   * second and exceeded the processor time limit.
   */
  @Test
  void datagramsOfADaemonAreBoundedWithoutAPlanner() {
    assertThat(datagramsPerSecond(new AnnouncementSchedule(), false, false, 330))
        .isAtMost(4 * AnnouncementSchedule.FANOUT);
  }

  @Test
  void plannerSilenceIsDetectedBeforeTheTakeoverTimeout() {
    for (int daemons : new int[] {3, 9, 80, 330}) {
      assertThat(
              AnnouncementSchedule.plannerSilenceMs(daemons)
                  + AnnouncementSchedule.intervalMs(daemons))
          .isLessThan(TakeoverTimeout.MS + 100);
    }
  }

  /** Planner silence after which the first-ranked daemon takes over. */
  private static final class TakeoverTimeout {
    static final long MS = 900;
  }
}
