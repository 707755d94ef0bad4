package org.limpetring.groups.monitor;

import org.limpetring.groups.ServingGroup;

/**
 * Judgement of one group from all observers.
 *
 * @param validUntilMs last moment at which the group may serve on this evidence; {@link #CLOSED} if
 *     it must not
 * @param isSilent whether it is closed only because members do not answer
 * @param reason why it does not serve; empty if it does
 */
public record MergedGroup(ServingGroup group, long validUntilMs, boolean isSilent, String reason) {

  /** Value of {@code validUntilMs} for a group that must not serve. */
  public static final long CLOSED = Long.MIN_VALUE;

  /** Judgement that the group may serve until {@code validUntilMs}. */
  public static MergedGroup open(ServingGroup group, long validUntilMs) {
    return new MergedGroup(group, validUntilMs, false, "");
  }

  /** Judgement that the group must not serve. */
  public static MergedGroup closed(ServingGroup group, String reason) {
    return new MergedGroup(group, CLOSED, false, reason);
  }

  /** Judgement that no observer has lately heard from every member. */
  public static MergedGroup silent(ServingGroup group, String reason) {
    return new MergedGroup(
        group, CLOSED, true, reason.isEmpty() ? "no fresh confirmation" : reason);
  }

  /** Whether the group may serve at {@code nowMs}. */
  public boolean servesAt(long nowMs) {
    return validUntilMs != CLOSED && nowMs <= validUntilMs;
  }
}
