package org.limpetring.groups.monitor;

import org.limpetring.groups.ServingGroup;

/**
 * State of one group, merged from all observers.
 *
 * @param validUntilMs time until which the group may serve; {@link #CLOSED} if it must not
 * @param isSilent whether the group is closed only because members do not respond
 * @param reason why the group does not serve; empty if it does
 */
public record MergedGroup(ServingGroup group, long validUntilMs, boolean isSilent, String reason) {

  /** Value of {@code validUntilMs} for a group that must not serve. */
  public static final long CLOSED = Long.MIN_VALUE;

  /** State of a group that may serve until {@code validUntilMs}. */
  public static MergedGroup open(ServingGroup group, long validUntilMs) {
    return new MergedGroup(group, validUntilMs, false, "");
  }

  /** State of a group that must not serve. */
  public static MergedGroup closed(ServingGroup group, String reason) {
    return new MergedGroup(group, CLOSED, false, reason);
  }

  /** State of a group for which no observer has fresh reports of all members. */
  public static MergedGroup silent(ServingGroup group, String reason) {
    return new MergedGroup(
        group, CLOSED, true, reason.isEmpty() ? "no fresh confirmation" : reason);
  }

  /** Whether the group may serve at {@code nowMs}. */
  public boolean servesAt(long nowMs) {
    return validUntilMs != CLOSED && nowMs <= validUntilMs;
  }
}
