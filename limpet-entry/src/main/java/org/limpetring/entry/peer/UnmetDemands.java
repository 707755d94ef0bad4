package org.limpetring.entry.peer;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Sums of the unmet demand that daemons announce, for a bounded number of models. */
public final class UnmetDemands {

  /** Announced models; those with the highest unmet rates if there are more. */
  public static final int MAX_MODELS = 16;

  /** Ranks that are told apart; less urgent ones count as the last. */
  public static final int RANKS = 4;

  private UnmetDemands() {}

  /** Adds up rates by model and rank and keeps the models with the highest ones. */
  public static List<PeerState.UnmetDemand> sum(Collection<List<PeerState.UnmetDemand>> parts) {
    Map<Integer, int[]> ratesByModel = new HashMap<>();
    for (List<PeerState.UnmetDemand> part : parts) {
      for (PeerState.UnmetDemand demand : part) {
        int[] rates = ratesByModel.computeIfAbsent(demand.modelHash(), key -> new int[RANKS]);
        rates[demand.rank()] += demand.requestsPerMinute();
      }
    }
    List<Map.Entry<Integer, int[]>> models = new ArrayList<>(ratesByModel.entrySet());
    models.sort(
        Comparator.comparingLong((Map.Entry<Integer, int[]> model) -> -total(model.getValue()))
            .thenComparing(Map.Entry::getKey));
    List<PeerState.UnmetDemand> sums = new ArrayList<>();
    for (Map.Entry<Integer, int[]> model : models.subList(0, Math.min(MAX_MODELS, models.size()))) {
      for (int rank = 0; rank < RANKS; rank++) {
        int rate = model.getValue()[rank];
        if (rate > 0) {
          sums.add(new PeerState.UnmetDemand(model.getKey(), rank, rate));
        }
      }
    }
    return sums;
  }

  private static long total(int[] rates) {
    long total = 0;
    for (int rate : rates) {
      total += rate;
    }
    return total;
  }

  /** Unmet requests per minute for one model, by rank. */
  public static List<Integer> byRank(List<PeerState.UnmetDemand> demands, int modelHash) {
    List<Integer> rates = new ArrayList<>(Collections.nCopies(RANKS, 0));
    for (PeerState.UnmetDemand demand : demands) {
      if (demand.modelHash() == modelHash) {
        rates.set(demand.rank(), rates.get(demand.rank()) + demand.requestsPerMinute());
      }
    }
    return rates;
  }
}
