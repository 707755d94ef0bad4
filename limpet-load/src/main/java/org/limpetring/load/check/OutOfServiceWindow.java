package org.limpetring.load.check;

import java.util.Set;

/**
 * Period in which a failure domain or host was out of service.
 *
 * @param target failure domain or host
 * @param hosts hosts of the target
 * @param startMs wall time after the platform had stored the service mark
 * @param endMs wall time just before the mark was deleted, or {@link Long#MAX_VALUE}
 */
public record OutOfServiceWindow(String target, Set<String> hosts, long startMs, long endMs) {

  /** Copies the hosts. */
  public OutOfServiceWindow {
    hosts = Set.copyOf(hosts);
  }

  /** Whether {@code atMs} lies within this period. */
  public boolean contains(long atMs) {
    return atMs >= startMs && atMs < endMs;
  }
}
