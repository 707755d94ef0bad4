package org.limpetring.entry.group;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.limpetring.base.Clock;
import org.limpetring.entry.model.Upstream;
import org.limpetring.entry.port.EngineControl;
import org.limpetring.entry.port.ReportReply;

/**
 * Remembers which hosts do not answer, by asking them.
 *
 * <p>A host that went dark stays listed for some heartbeats; it must not be ordered into a group
 * meanwhile.
 */
final class HostProbes {

  /** Many times the way to a host and back, which answers without a queue. */
  private static final long PROBE_TIMEOUT_MS = 180;

  /** Pause between two questions to a host that did not answer the last one. */
  private static final long REPROBE_MS = 800;

  /** A host that was not asked about for this long is forgotten. */
  private static final long FORGET_MS = 8_000;

  private final EngineControl engines;
  private final Clock clock;

  /** Lives that did not answer, with the time of their last probe. */
  private final Map<String, Long> silentLives = new HashMap<>();

  HostProbes(EngineControl engines, Clock clock) {
    this.engines = engines;
    this.clock = clock;
  }

  /** Asks a host for its state. */
  void ask(Upstream host, Consumer<ReportReply> done) {
    engines.report(host, PROBE_TIMEOUT_MS, done);
  }

  /** The host counts as silent until it answers. */
  void markSilent(Upstream host) {
    silentLives.put(host.incarnation(), clock.nowMs());
  }

  /** Whether the host counts as silent, without asking it. */
  boolean isKnownSilent(Upstream host) {
    return silentLives.containsKey(host.incarnation());
  }

  /** Whether the host did not answer lately; asks it again from time to time. */
  boolean isSilent(Upstream upstream) {
    Long probedMs = silentLives.get(upstream.incarnation());
    if (probedMs == null) {
      return false;
    }
    long nowMs = clock.nowMs();
    if (nowMs - probedMs >= REPROBE_MS) {
      silentLives.put(upstream.incarnation(), nowMs);
      ask(
          upstream,
          reply -> {
            if (reply instanceof ReportReply.Received) {
              silentLives.remove(upstream.incarnation());
            }
          });
    }
    return true;
  }

  /** Hosts that count as silent. */
  int silentCount() {
    return silentLives.size();
  }

  void forgetOld(long nowMs) {
    silentLives.values().removeIf(probedMs -> nowMs - probedMs > FORGET_MS);
  }
}
