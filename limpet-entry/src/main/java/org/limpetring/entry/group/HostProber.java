package org.limpetring.entry.group;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.limpetring.base.Clock;
import org.limpetring.entry.model.Upstream;
import org.limpetring.entry.port.EngineControl;
import org.limpetring.entry.port.ReportReply;

/**
 * Probes hosts and tracks the unresponsive ones.
 *
 * <p>A failed host stays listed for some heartbeats; it must not be assigned to a group in that
 * time.
 */
final class HostProber {

  /** Many times the round trip to a host; hosts answer probes without queueing. */
  private static final long PROBE_TIMEOUT_MS = 180;

  /** Interval between two probes of an unresponsive host. */
  private static final long REPROBE_INTERVAL_MS = 800;

  /** Entries of hosts that were not probed for this long are removed. */
  private static final long EXPIRY_MS = 8_000;

  private final EngineControl engines;
  private final Clock clock;

  /** Unresponsive host incarnations, with the time of their last probe. */
  private final Map<String, Long> unresponsive = new HashMap<>();

  HostProber(EngineControl engines, Clock clock) {
    this.engines = engines;
    this.clock = clock;
  }

  /** Requests a host's state. */
  void probe(Upstream host, Consumer<ReportReply> done) {
    engines.report(host, PROBE_TIMEOUT_MS, done);
  }

  /** Marks the host as unresponsive until it answers a probe. */
  void markUnresponsive(Upstream host) {
    unresponsive.put(host.incarnation(), clock.nowMs());
  }

  /** Whether the host is marked as unresponsive; sends no probe. */
  boolean isMarkedUnresponsive(Upstream host) {
    return unresponsive.containsKey(host.incarnation());
  }

  /** Whether the host is marked as unresponsive; if so, probes it again at intervals. */
  boolean isUnresponsive(Upstream upstream) {
    Long probedMs = unresponsive.get(upstream.incarnation());
    if (probedMs == null) {
      return false;
    }
    long nowMs = clock.nowMs();
    if (nowMs - probedMs >= REPROBE_INTERVAL_MS) {
      unresponsive.put(upstream.incarnation(), nowMs);
      probe(
          upstream,
          reply -> {
            if (reply instanceof ReportReply.Received) {
              unresponsive.remove(upstream.incarnation());
            }
          });
    }
    return true;
  }

  /** Number of hosts that are marked as unresponsive. */
  int unresponsiveCount() {
    return unresponsive.size();
  }

  void removeExpired(long nowMs) {
    unresponsive.values().removeIf(probedMs -> nowMs - probedMs > EXPIRY_MS);
  }
}
