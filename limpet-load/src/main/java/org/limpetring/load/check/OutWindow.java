package org.limpetring.load.check;

import java.util.Set;

/**
 * Stretch of time in which a failure domain or host was out of service.
 *
 * @param outAtMs wall time at which the platform had taken the mark
 * @param inAtMs wall time just before the mark was removed, or {@link Long#MAX_VALUE}
 */
public record OutWindow(String target, Set<String> hosts, long outAtMs, long inAtMs) {

  /** Copies the hosts. */
  public OutWindow {
    hosts = Set.copyOf(hosts);
  }

  /** Whether {@code atMs} lies within. */
  public boolean contains(long atMs) {
    return atMs >= outAtMs && atMs < inAtMs;
  }
}
