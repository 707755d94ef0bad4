package org.limpetring.entry.model;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * State that a model engine reports in its list entry or on request.
 *
 * @param fabricDomain fabric domain of the host; empty if not reported
 * @param isBusy whether an order is in progress
 * @param staged models whose weights are staged on the host
 * @param model loaded model; null if none
 * @param membership membership in a group; null if none
 * @param running requests in progress; 0 if not reported
 * @param waiting queued requests; 0 if not reported
 * @param pace slowdown factor; above 1 if the engine is slow
 */
public record EngineStatus(
    String fabricDomain,
    boolean isBusy,
    List<String> staged,
    @Nullable String model,
    @Nullable Membership membership,
    int running,
    int waiting,
    double pace) {

  /** Makes a defensive copy of the list. */
  public EngineStatus {
    staged = List.copyOf(staged);
  }
}
