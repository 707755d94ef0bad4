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
 * older. Each timestamp also bears the epoch that the other side confirmed with it.
 */
public final class FreshnessMachine {

  private static final long NEVER_MS = Long.MIN_VALUE / 4;

  private final DaemonId self;
  private final Map<DaemonId, Evidence> members = new HashMap<>();
  private Evidence platform = new Evidence(0, NEVER_MS);
  private Roster roster = Roster.EMPTY;
  private long generation;

  /** Time at which something was known to be current, and the epoch confirmed then. */
  private record Evidence(long epoch, long atMs) {}

  /** Machine that has heard of nobody. */
  public FreshnessMachine(DaemonId self) {
    this.self = self;
  }

  /** Takes a newer roster; evidence of daemons outside of it is dropped. */
  public void onRoster(Roster newer) {
    if (newer.epoch() <= roster.epoch()) {
      return;
    }
    roster = newer;
    members.keySet().retainAll(newer.ids());
  }

  /** Takes the generation of the configuration in force. */
  public void onGeneration(long newer) {
    generation = Math.max(generation, newer);
  }

  /** Notes that a platform read sent at {@code sentAtMs} showed {@code epoch} as the newest. */
  public void onPlatformConfirmed(long epoch, long sentAtMs) {
    platform = newer(platform, new Evidence(epoch, sentAtMs));
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
    note(from, new Evidence(report.epoch(), askedAtMs));
    if (report.platformAgeMs() != FreshnessReport.NONE_MS) {
      platform = newer(platform, new Evidence(report.epoch(), askedAtMs - report.platformAgeMs()));
    }
    boolean sameRoster =
        report.epoch() == roster.epoch() && report.memberAgesMs().size() == roster.daemons().size();
    if (!sameRoster) {
      return;
    }
    for (int index = 0; index < report.memberAgesMs().size(); index++) {
      long ageMs = report.memberAgesMs().get(index);
      if (ageMs != FreshnessReport.NONE_MS) {
        note(roster.daemons().get(index).id(), new Evidence(report.epoch(), askedAtMs - ageMs));
      }
    }
  }

  /**
   * What this daemon tells a peer.
   *
   * @param withMembers whether to add the ages of all daemons
   * @param horizonMs oldest age worth telling
   */
  public FreshnessReport report(boolean withMembers, long horizonMs, long nowMs) {
    List<Long> ages = new ArrayList<>();
    if (withMembers) {
      for (DaemonId member : roster.ids()) {
        long ageMs = member.equals(self) ? 0 : nowMs - atMs(member, roster.epoch());
        ages.add(ageMs <= horizonMs ? ageMs : FreshnessReport.NONE_MS);
      }
    }
    long platformAgeMs = nowMs - platform.atMs();
    boolean tellsPlatform = platform.epoch() == roster.epoch() && platformAgeMs <= horizonMs;
    return new FreshnessReport(
        roster.epoch(), generation, tellsPlatform ? platformAgeMs : FreshnessReport.NONE_MS, ages);
  }

  /** Latest time at which the platform is known to have held nothing newer. */
  public long platformAtMs() {
    return platform.atMs();
  }

  /** Latest time at which this daemon held all that most of the roster held. */
  public long majorityAtMs(long nowMs) {
    return majorityAtMs(nowMs, 0);
  }

  /** Latest time by which this daemon cannot have missed a change that others had learnt. */
  public long currentAtMs(long nowMs) {
    return Math.max(platform.atMs(), majorityAtMs(nowMs));
  }

  /** Latest time at which the platform confirmed the roster's epoch. */
  public long epochByPlatformAtMs() {
    return platform.epoch() == roster.epoch() ? platform.atMs() : NEVER_MS;
  }

  /** Latest time at which most of the roster confirmed its epoch. */
  public long epochByMajorityAtMs(long nowMs) {
    return majorityAtMs(nowMs, roster.epoch());
  }

  private long majorityAtMs(long nowMs, long minEpoch) {
    int size = roster.daemons().size();
    if (size == 0) {
      return NEVER_MS;
    }
    long[] times = new long[size];
    for (int index = 0; index < size; index++) {
      DaemonId member = roster.daemons().get(index).id();
      times[index] = member.equals(self) ? nowMs : atMs(member, minEpoch);
    }
    Arrays.sort(times);
    return times[size - roster.majority()];
  }

  private long atMs(DaemonId member, long minEpoch) {
    Evidence evidence = members.get(member);
    return evidence == null || evidence.epoch() < minEpoch ? NEVER_MS : evidence.atMs();
  }

  private void note(DaemonId member, Evidence evidence) {
    if (!member.equals(self) && roster.contains(member)) {
      members.merge(member, evidence, FreshnessMachine::newer);
    }
  }

  private static Evidence newer(Evidence one, Evidence other) {
    return other.atMs() > one.atMs() ? other : one;
  }
}
