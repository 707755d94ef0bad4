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
 * Decides whom this daemon asks for reports, and when.
 *
 * <p>At rest one question a second goes to one of the few daemons of the same failure domain that
 * watch the platform. While knowledge ages or an older epoch is not over, questions go to random
 * daemons more often.
 */
final class ExchangeSchedule {

  /** Daemons of each failure domain that watch the platform. */
  static final int WATCHERS_PER_DOMAIN = 2;

  private static final long REST_INTERVAL_MS = 1_000;
  private static final long BUSY_INTERVAL_MS = 250;
  private static final long CONTACT_INTERVAL_MS = 500;
  private static final long ANSWER_TIMEOUT_MS = 2_000;

  private final DaemonEntry self;
  private final SplittableRandom random;
  private final Map<Long, Long> askedAtMs = new HashMap<>();
  private List<DaemonEntry> watchers = List.of();
  private Roster roster = Roster.EMPTY;
  private long lastNumber;
  private long nextMs;
  private long nextContactMs;

  ExchangeSchedule(DaemonEntry self, long seed) {
    this.self = self;
    this.random = new SplittableRandom(seed);
  }

  void setRoster(Roster newer) {
    roster = newer;
    List<DaemonId> domain = new ArrayList<>();
    for (DaemonEntry entry : newer.daemons()) {
      if (entry.failureDomain().equals(self.failureDomain())) {
        domain.add(entry.id());
      }
    }
    watchers = new ArrayList<>();
    for (DaemonId id :
        Rendezvous.owners("watch/" + self.failureDomain(), domain, WATCHERS_PER_DOMAIN)) {
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

  /** Daemons to ask now; {@code isBusy} asks for more than the rhythm at rest. */
  List<DaemonEntry> due(boolean isBusy, long nowMs) {
    boolean isDue = nowMs >= nextMs || (isBusy && nextMs - nowMs > BUSY_INTERVAL_MS);
    if (!isDue || roster.daemons().isEmpty()) {
      return List.of();
    }
    long intervalMs = isBusy ? BUSY_INTERVAL_MS : REST_INTERVAL_MS;
    nextMs = nowMs + intervalMs - random.nextLong(intervalMs / 5);
    boolean asksAnyone = isBusy || isWatcher() || watchers.isEmpty();
    List<DaemonEntry> from = asksAnyone ? roster.daemons() : watchers;
    DaemonEntry chosen = from.get(random.nextInt(from.size()));
    return chosen.equals(self) ? List.of() : List.of(chosen);
  }

  /** All daemons, if it is time to make sure of contact with most of them. */
  List<DaemonEntry> dueForContact(long nowMs) {
    if (nowMs < nextContactMs) {
      return List.of();
    }
    nextContactMs = nowMs + CONTACT_INTERVAL_MS;
    return roster.daemons().stream().filter(entry -> !entry.equals(self)).toList();
  }

  /** Number for a question asked now. */
  long ask(long nowMs) {
    askedAtMs.values().removeIf(atMs -> nowMs - atMs > ANSWER_TIMEOUT_MS);
    lastNumber++;
    askedAtMs.put(lastNumber, nowMs);
    return lastNumber;
  }

  /** When question {@code number} was asked; negative if that is too long ago. */
  long takeAskedAtMs(long number) {
    Long atMs = askedAtMs.remove(number);
    return atMs == null ? -1 : atMs;
  }
}
