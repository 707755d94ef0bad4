package org.limpetring.routing.poison;

import java.util.Set;

/**
 * Notice to all daemons of the upstream incarnations that crashed with a request in progress.
 * Serialized as JSON under the names of the components.
 *
 * @param lives group and incarnation ({@code group@incarnation}) of each crash that the request is
 *     suspected of
 * @param cleared whether the request has completed successfully since
 */
public record CrashNotice(Fingerprint fingerprint, Set<String> lives, boolean cleared) {

  /** Copies {@code lives} defensively. */
  public CrashNotice {
    lives = Set.copyOf(lives);
  }
}
