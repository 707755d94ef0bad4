package org.limpetring.fleet.node;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.limpetring.base.DaemonId;
import org.limpetring.base.Rendezvous;
import org.limpetring.fleet.DaemonEntry;
import org.limpetring.fleet.Roster;

/**
 * Decides when this daemon requests freshness reports and from which peers.
 *
 * <p>Normally one request per second goes to one of the few daemons of the same failure domain that
 * watch the platform. While knowledge is old or an older epoch is not retired, requests go more
 * often and to random daemons.
 */
final class ExchangeSchedule {

  /** Number of daemons per failure domain that watch the platform. */
  static final int WATCHERS_PER_DOMAIN = 2;

  private static final long NORMAL_INTERVAL_MS = 1_000;
  private static final long URGENT_INTERVAL_MS = 250;
  private static final long MAJORITY_CONTACT_INTERVAL_MS = 500;
  private static final long RESPONSE_TIMEOUT_MS = 2_000;

  private final DaemonEntry self;
  private final SplittableRandom random;
  private final Map<Long, Long> requestedAtMs = new HashMap<>();
  private List<DaemonEntry> watchers = List.of();
  private Roster roster = Roster.EMPTY;
  private long lastNumber;
  private long nextRequestMs;
  private long nextMajorityContactMs;

  ExchangeSchedule(DaemonEntry self, long seed) {
    this.self = self;
    this.random = new SplittableRandom(seed);
  }

  void setRoster(Roster newer) {
    roster = newer;
    List<DaemonId> domainIds = new ArrayList<>();
    for (DaemonEntry entry : newer.daemons()) {
      if (entry.failureDomain().equals(self.failureDomain())) {
        domainIds.add(entry.id());
      }
    }
    watchers = new ArrayList<>();
    for (DaemonId id :
        Rendezvous.owners("watch/" + self.failureDomain(), domainIds, WATCHERS_PER_DOMAIN)) {
      DaemonEntry entry = newer.entry(id);
      if (entry != null) {
        watchers.add(entry);
      }
    }
  }

  /** Whether this daemon watches the platform for its failure domain. */
  boolean isWatcher() {
    return watchers.contains(self);
  }

  /**
   * The daemon to send a request to now, if any; {@code isUrgent} selects the shorter interval and
   * allows all daemons.
   */
  List<DaemonEntry> duePeers(boolean isUrgent, long nowMs) {
    boolean isDue =
        nowMs >= nextRequestMs || (isUrgent && nextRequestMs - nowMs > URGENT_INTERVAL_MS);
    if (!isDue || roster.daemons().isEmpty()) {
      return List.of();
    }
    long intervalMs = isUrgent ? URGENT_INTERVAL_MS : NORMAL_INTERVAL_MS;
    nextRequestMs = nowMs + intervalMs - random.nextLong(intervalMs / 5);
    boolean allowsAnyPeer = isUrgent || isWatcher() || watchers.isEmpty();
    List<DaemonEntry> candidates = allowsAnyPeer ? roster.daemons() : watchers;
    DaemonEntry chosen = candidates.get(random.nextInt(candidates.size()));
    return chosen.equals(self) ? List.of() : List.of(chosen);
  }

  /** All other daemons, if it is time to renew contact with a majority of the roster. */
  List<DaemonEntry> dueForMajorityContact(long nowMs) {
    if (nowMs < nextMajorityContactMs) {
      return List.of();
    }
    nextMajorityContactMs = nowMs + MAJORITY_CONTACT_INTERVAL_MS;
    return roster.daemons().stream().filter(entry -> !entry.equals(self)).toList();
  }

  /** Records a request sent now and returns its number. */
  long startRequest(long nowMs) {
    requestedAtMs.values().removeIf(atMs -> nowMs - atMs > RESPONSE_TIMEOUT_MS);
    lastNumber++;
    requestedAtMs.put(lastNumber, nowMs);
    return lastNumber;
  }

  /** When request {@code number} was sent; negative if it is unknown or has timed out. */
  long takeRequestedAtMs(long number) {
    Long atMs = requestedAtMs.remove(number);
    return atMs == null ? -1 : atMs;
  }
}
