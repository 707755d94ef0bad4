package org.limpetring.fleet.freshness;

import java.util.List;

/**
 * Report of one daemon to another on how recent its knowledge is.
 *
 * @param epoch newest roster epoch that the sender has learnt
 * @param generation newest configuration generation that the sender has learnt
 * @param platformAgeMs time since the platform confirmed both; {@link #UNKNOWN_AGE_MS} if unknown
 * @param memberAgesMs for each daemon of the sender's roster in sorted order, the time since the
 *     sender knew everything that this daemon knew; {@link #UNKNOWN_AGE_MS} if unknown; may be
 *     empty
 */
public record FreshnessReport(
    long epoch, long generation, long platformAgeMs, List<Long> memberAgesMs) {

  /** Age without a known value. */
  public static final long UNKNOWN_AGE_MS = -1;

  /** Copies the list. */
  public FreshnessReport {
    memberAgesMs = List.copyOf(memberAgesMs);
  }
}
