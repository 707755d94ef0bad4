package org.limpetring.entry.balancing;

/**
 * What a daemon knows about the level of an upstream that has just started or recovered.
 *
 * @param endpointHash identifies the endpoint, and so the upstream's incarnation
 * @param epoch number of times that the level was lowered; a higher one supersedes
 * @param level requests without a response that the upstream may have from all daemons together;
 *     {@link #ENDED} if it is no longer paced
 * @param ageMs time since the response that the level follows from
 */
public record PaceStatement(int endpointHash, int epoch, int level, long ageMs) {

  /** Level of an upstream that is no longer paced. */
  public static final int ENDED = Integer.MAX_VALUE;
}
