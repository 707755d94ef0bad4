package org.limpetring.fleet.freshness;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.limpetring.base.DaemonId;
import org.limpetring.fleet.Roster;

/**
 * Decides how recently this daemon could have learnt of a change.
 *
 * <p>Knowledge timestamps in the manner of matrix clocks (Wuu and Bernstein, 1984): for the
 * platform and for each daemon of the roster the machine keeps the latest time, on its own
 * monotonic clock, at which it held all that the other held. Reports carry ages, and an age is
 * counted from the moment at which the report was asked for, so relaying a report only makes it
 * older. A timestamp therefore also says that the other had not learnt a newer roster by then.
 */
public final class FreshnessMachine {

  /** Longest age that daemons tell one another. */
  public static final long HORIZON_MS = 10_000;

  private static final long NEVER_MS = Long.MIN_VALUE / 4;

  private final DaemonId self;
  private final Map<DaemonId, Long> heardAtMs = new HashMap<>();
  private long platformAtMs = NEVER_MS;
  private Roster roster = Roster.EMPTY;
  private long generation;

  /** Machine that has heard of nobody. */
  public FreshnessMachine(DaemonId self) {
    this.self = self;
  }

  /** Takes a newer roster; what was heard of daemons outside of it is dropped. */
  public void onRoster(Roster newer) {
    if (newer.epoch() <= roster.epoch()) {
      return;
    }
    roster = newer;
    heardAtMs.keySet().retainAll(newer.ids());
  }

  /** Takes the generation of the configuration in force. */
  public void onGeneration(long newer) {
    generation = Math.max(generation, newer);
  }

  /** Notes that reads sent at {@code sentAtMs} showed nothing newer than what is held here. */
  public void onPlatformConfirmed(long sentAtMs) {
    platformAtMs = Math.max(platformAtMs, sentAtMs);
  }

  /**
   * Takes a peer's report.
   *
   * @param askedAtMs when this daemon sent the message that the report answers
   */
  public void onReport(DaemonId from, FreshnessReport report, long askedAtMs) {
    boolean holdsAll = report.epoch() <= roster.epoch() && report.generation() <= generation;
    if (!holdsAll) {
      return;
    }
    note(from, askedAtMs);
    if (report.platformAgeMs() != FreshnessReport.NONE_MS) {
      onPlatformConfirmed(askedAtMs - report.platformAgeMs());
    }
    boolean sameRoster =
        report.epoch() == roster.epoch() && report.memberAgesMs().size() == roster.daemons().size();
    if (!sameRoster) {
      return;
    }
    for (int index = 0; index < report.memberAgesMs().size(); index++) {
      long ageMs = report.memberAgesMs().get(index);
      if (ageMs != FreshnessReport.NONE_MS) {
        note(roster.daemons().get(index).id(), askedAtMs - ageMs);
      }
    }
  }

  /**
   * What this daemon tells a peer.
   *
   * @param withMembers whether to add the ages of all daemons
   */
  public FreshnessReport report(boolean withMembers, long nowMs) {
    List<Long> ages = new ArrayList<>();
    if (withMembers) {
      for (DaemonId member : roster.ids()) {
        ages.add(age(atMs(member, nowMs), nowMs));
      }
    }
    return new FreshnessReport(roster.epoch(), generation, age(platformAtMs, nowMs), ages);
  }

  /** Latest time at which the platform is known to have held nothing newer. */
  public long platformAtMs() {
    return platformAtMs;
  }

  /** Latest time at which this daemon held all that most of the roster held. */
  public long majorityAtMs(long nowMs) {
    int size = roster.daemons().size();
    if (size == 0) {
      return NEVER_MS;
    }
    long[] times = new long[size];
    for (int index = 0; index < size; index++) {
      times[index] = atMs(roster.daemons().get(index).id(), nowMs);
    }
    Arrays.sort(times);
    return times[size - roster.majority()];
  }

  /** Latest time by which this daemon cannot have missed a change that others had learnt. */
  public long currentAtMs(long nowMs) {
    return Math.max(platformAtMs, majorityAtMs(nowMs));
  }

  private long atMs(DaemonId member, long nowMs) {
    return member.equals(self) ? nowMs : heardAtMs.getOrDefault(member, NEVER_MS);
  }

  private void note(DaemonId member, long atMs) {
    if (!member.equals(self) && roster.contains(member)) {
      heardAtMs.merge(member, atMs, Math::max);
    }
  }

  private static long age(long atMs, long nowMs) {
    long ageMs = nowMs - atMs;
    return ageMs <= HORIZON_MS ? ageMs : FreshnessReport.NONE_MS;
  }
}
