package org.limpetring.fleet.freshness;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.limpetring.base.DaemonId;
import org.limpetring.fleet.Roster;

/**
 * Determines up to which time this daemon's knowledge is known to be complete.
 *
 * <p>Knowledge timestamps similar to matrix clocks (Wuu and Bernstein, 1984): for the platform and
 * for each daemon of the roster the machine keeps the latest time, on its own monotonic clock, at
 * which this daemon knew everything that the other one knew. Reports carry ages, and an age counts
 * from the time at which the report was requested, so relaying a report can only make it older. A
 * timestamp therefore also proves that the other daemon had not learnt a newer roster by then.
 */
public final class FreshnessMachine {

  /** Largest age that daemons include in reports. */
  public static final long MAX_REPORTED_AGE_MS = 10_000;

  private static final long NEVER_MS = Long.MIN_VALUE / 4;

  private final DaemonId self;
  private final Map<DaemonId, Long> syncedAtMs = new HashMap<>();
  private long platformConfirmedAtMs = NEVER_MS;
  private Roster roster = Roster.EMPTY;
  private long generation;

  /** Creates a machine that has not received any report. */
  public FreshnessMachine(DaemonId self) {
    this.self = self;
  }

  /** Processes a newer roster; timestamps of daemons outside it are dropped. */
  public void onRoster(Roster newer) {
    if (newer.epoch() <= roster.epoch()) {
      return;
    }
    roster = newer;
    syncedAtMs.keySet().retainAll(newer.ids());
  }

  /** Updates the generation of the configuration in force. */
  public void onGeneration(long newer) {
    generation = Math.max(generation, newer);
  }

  /** Records that reads sent at {@code sentAtMs} returned nothing newer than what is held here. */
  public void onPlatformConfirmed(long sentAtMs) {
    platformConfirmedAtMs = Math.max(platformConfirmedAtMs, sentAtMs);
  }

  /**
   * Processes a peer's report.
   *
   * @param requestedAtMs when this daemon sent the request for the report
   */
  public void onReport(DaemonId from, FreshnessReport report, long requestedAtMs) {
    boolean isUpToDate = report.epoch() <= roster.epoch() && report.generation() <= generation;
    if (!isUpToDate) {
      return;
    }
    recordSync(from, requestedAtMs);
    if (report.platformAgeMs() != FreshnessReport.UNKNOWN_AGE_MS) {
      onPlatformConfirmed(requestedAtMs - report.platformAgeMs());
    }
    boolean hasSameRoster =
        report.epoch() == roster.epoch() && report.memberAgesMs().size() == roster.daemons().size();
    if (!hasSameRoster) {
      return;
    }
    for (int index = 0; index < report.memberAgesMs().size(); index++) {
      long ageMs = report.memberAgesMs().get(index);
      if (ageMs != FreshnessReport.UNKNOWN_AGE_MS) {
        recordSync(roster.daemons().get(index).id(), requestedAtMs - ageMs);
      }
    }
  }

  /**
   * Creates the report for a peer.
   *
   * @param withMemberAges whether to include the ages of all daemons
   */
  public FreshnessReport report(boolean withMemberAges, long nowMs) {
    List<Long> ages = new ArrayList<>();
    if (withMemberAges) {
      for (DaemonId member : roster.ids()) {
        ages.add(age(atMs(member, nowMs), nowMs));
      }
    }
    return new FreshnessReport(roster.epoch(), generation, age(platformConfirmedAtMs, nowMs), ages);
  }

  /** Latest time at which the platform is known to have held no newer roster or configuration. */
  public long platformConfirmedAtMs() {
    return platformConfirmedAtMs;
  }

  /** Latest time at which this daemon knew everything that a majority of the roster knew. */
  public long majoritySyncedAtMs(long nowMs) {
    int size = roster.daemons().size();
    if (size == 0) {
      return NEVER_MS;
    }
    long[] syncTimes = new long[size];
    for (int index = 0; index < size; index++) {
      syncTimes[index] = atMs(roster.daemons().get(index).id(), nowMs);
    }
    Arrays.sort(syncTimes);
    return syncTimes[size - roster.majority()];
  }

  /**
   * Latest time up to which this daemon cannot have missed a change that other daemons had learnt.
   */
  public long currentAtMs(long nowMs) {
    return Math.max(platformConfirmedAtMs, majoritySyncedAtMs(nowMs));
  }

  private long atMs(DaemonId member, long nowMs) {
    return member.equals(self) ? nowMs : syncedAtMs.getOrDefault(member, NEVER_MS);
  }

  private void recordSync(DaemonId member, long atMs) {
    if (!member.equals(self) && roster.contains(member)) {
      syncedAtMs.merge(member, atMs, Math::max);
    }
  }

  private static long age(long atMs, long nowMs) {
    long ageMs = nowMs - atMs;
    return ageMs <= MAX_REPORTED_AGE_MS ? ageMs : FreshnessReport.UNKNOWN_AGE_MS;
  }
}
