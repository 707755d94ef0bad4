package org.limpetring.routing.poison;

import java.util.Set;

/**
 * Word to all daemons of the upstream lives that ended with a request in progress.
 *
 * @param lives group and incarnation of each crash that the request was suspected of
 * @param cleared whether the request has since been seen to run well
 */
public record CrashNotice(Fingerprint fingerprint, Set<String> lives, boolean cleared) {

  /** Copies the set. */
  public CrashNotice {
    lives = Set.copyOf(lives);
  }
}
