package org.limpetring.groups.monitor;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.jspecify.annotations.Nullable;
import org.limpetring.base.DaemonId;
import org.limpetring.base.GroupId;
import org.limpetring.groups.monitor.ObservedGroup.Verdict;

/**
 * Merges the observations of all observers into one state for each group.
 *
 * <p>Of the fresh observations of a group, only those of the newest epoch count. A single
 * contradiction closes the group; a missing report at one observer does not, as long as another
 * observer has a fresh confirmation. The age of an observation is measured from its creation. Not
 * thread-safe.
 */
public final class ObservationMerger {

  private final long freshMs;
  private final Map<DaemonId, ReceivedObservation> latestByObserver = new HashMap<>();
  private final Map<DaemonId, DelayEstimator> delayEstimators = new HashMap<>();

  /** Creates a merger that accepts confirmations at most {@code freshMs} old. */
  public ObservationMerger(long freshMs) {
    this.freshMs = freshMs;
  }

  /**
   * Processes an observation received at {@code nowMs}; ignores it unless it is newer than the
   * stored one.
   */
  public void onObservation(Observation observation, long nowMs) {
    @Nullable ReceivedObservation previous = latestByObserver.get(observation.observer());
    if (previous != null && previous.observation().version() >= observation.version()) {
      return;
    }
    DelayEstimator estimator =
        delayEstimators.computeIfAbsent(observation.observer(), id -> new DelayEstimator());
    long sentAtMs = nowMs - estimator.delayMs(observation.sentMs(), nowMs);
    latestByObserver.put(observation.observer(), new ReceivedObservation(observation, sentAtMs));
  }

  /** Removes an observer, for instance one that left the roster. */
  public void forget(DaemonId observer) {
    latestByObserver.remove(observer);
    delayEstimators.remove(observer);
  }

  /** Observers from which an observation was received. */
  public List<DaemonId> observers() {
    return List.copyOf(latestByObserver.keySet());
  }

  /** Returns the state of each group in a fresh observation, sorted by group id. */
  public List<MergedGroup> merge(long nowMs) {
    Map<GroupId, List<AgedObservation>> byGroup = new TreeMap<>();
    for (ReceivedObservation entry : latestByObserver.values()) {
      long sinceSentMs = nowMs - entry.sentAtMs();
      for (ObservedGroup observed : entry.observation().groups()) {
        long ageMs = sinceSentMs + observed.ageMs();
        if (sinceSentMs <= freshMs) {
          byGroup
              .computeIfAbsent(observed.group().id(), id -> new ArrayList<>())
              .add(new AgedObservation(observed, ageMs));
        }
      }
    }
    return byGroup.values().stream().map(aged -> evaluate(aged, nowMs)).toList();
  }

  private MergedGroup evaluate(List<AgedObservation> all, long nowMs) {
    long newestEpoch =
        all.stream().mapToLong(aged -> aged.observed().group().epoch()).max().orElse(0);
    List<AgedObservation> current =
        all.stream().filter(aged -> aged.observed().group().epoch() == newestEpoch).toList();
    AgedObservation youngest = youngest(current.stream());
    for (AgedObservation aged : current) {
      if (aged.observed().verdict() == Verdict.CONTRADICTED) {
        return MergedGroup.closed(aged.observed().group(), aged.observed().reason());
      }
    }
    List<AgedObservation> whole =
        current.stream()
            .filter(aged -> aged.observed().verdict() == Verdict.WHOLE && aged.ageMs() <= freshMs)
            .toList();
    if (whole.isEmpty()) {
      return MergedGroup.silent(youngest.observed().group(), youngest.observed().reason());
    }
    AgedObservation best = youngest(whole.stream());
    return MergedGroup.open(best.observed().group(), nowMs + freshMs - best.ageMs());
  }

  private static AgedObservation youngest(Stream<AgedObservation> aged) {
    return aged.min(Comparator.comparingLong(AgedObservation::ageMs)).orElseThrow();
  }

  private record ReceivedObservation(Observation observation, long sentAtMs) {}

  private record AgedObservation(ObservedGroup observed, long ageMs) {}
}
