package org.limpetring.fleet.freshness;

import java.util.List;

/**
 * What one daemon tells another about how recent its knowledge is.
 *
 * @param epoch newest roster epoch that the sender has learnt
 * @param generation newest configuration generation that the sender has learnt
 * @param platformAgeMs time since the platform confirmed both; {@link #NONE_MS} if it never did
 * @param memberAgesMs for each daemon of the sender's roster in sorted order, the time since the
 *     sender knew all that this daemon knew, {@link #NONE_MS} if unknown; may be empty
 */
public record FreshnessReport(
    long epoch, long generation, long platformAgeMs, List<Long> memberAgesMs) {

  /** Stands for "never". */
  public static final long NONE_MS = -1;

  /** Copies the list. */
  public FreshnessReport {
    memberAgesMs = List.copyOf(memberAgesMs);
  }
}
