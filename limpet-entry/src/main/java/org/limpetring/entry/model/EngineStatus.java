package org.limpetring.entry.model;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * What a model engine says of itself, in the list of upstreams or when asked.
 *
 * @param fabricDomain hosts joined by one fast fabric; empty if not told
 * @param isBusy whether an order is in progress
 * @param staged models whose weights lie on the host
 * @param model model that is loaded; null if none
 * @param membership place in a group; null if none
 * @param running requests that run; 0 where not told
 * @param waiting requests that wait; 0 where not told
 * @param pace above 1 if the engine is slow
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

  /** Copies the list. */
  public EngineStatus {
    staged = List.copyOf(staged);
  }
}
