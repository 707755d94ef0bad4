package org.limpetring.entry.balancing;

import java.util.HashMap;
import java.util.Map;
import org.limpetring.entry.model.Upstream;

/**
 * Keeps until when upstreams want no requests of this daemon, by incarnation: a pause outlives the
 * groups that the upstream is in, and ends with its restart.
 */
public final class UpstreamPauses {

  private final Map<String, Long> endMsByIncarnation = new HashMap<>();

  /** Sets the end of the pause of an incarnation; the last answer counts. */
  public void set(Upstream upstream, long endMs) {
    endMsByIncarnation.put(upstream.incarnation(), endMs);
  }

  /** Returns the end of the pause; far in the past if there is none. */
  public long endMs(Upstream upstream) {
    return endMsByIncarnation.getOrDefault(upstream.incarnation(), Endpoint.NEVER_PAUSED_MS);
  }

  /** Discards pauses that ended long enough ago for requests to have returned. */
  public void forgetBefore(long nowMs) {
    endMsByIncarnation.values().removeIf(endMs -> endMs + Endpoint.RETURN_MS < nowMs);
  }
}
