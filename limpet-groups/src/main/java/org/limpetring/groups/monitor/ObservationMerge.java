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
 * Joins the observations of all observers into one judgement of each group.
 *
 * <p>The newest epoch goes before older ones. Among fresh observations of that epoch one
 * contradiction closes the group; silence at one observer does not, as long as another has a
 * confirmation not older than the freshness bound. An observation's age counts from when it was
 * stated. Not thread-safe.
 */
public final class ObservationMerge {

  private final long freshMs;
  private final Map<DaemonId, Held> held = new HashMap<>();
  private final Map<DaemonId, DelayEstimate> delaysByObserver = new HashMap<>();

  /** Uses confirmations whose evidence is at most {@code freshMs} old. */
  public ObservationMerge(long freshMs) {
    this.freshMs = freshMs;
  }

  /** Takes an observation that arrived at {@code nowMs}; one not newer than the held is ignored. */
  public void onObservation(Observation observation, long nowMs) {
    @Nullable Held before = held.get(observation.observer());
    if (before != null && before.observation().version() >= observation.version()) {
      return;
    }
    DelayEstimate delays =
        delaysByObserver.computeIfAbsent(observation.observer(), id -> new DelayEstimate());
    long statedMs = nowMs - delays.delayMs(observation.sentMs(), nowMs);
    held.put(observation.observer(), new Held(observation, statedMs));
  }

  /** Forgets an observer, for instance one that left the roster. */
  public void forget(DaemonId observer) {
    held.remove(observer);
    delaysByObserver.remove(observer);
  }

  /** Observers heard of so far. */
  public List<DaemonId> observers() {
    return List.copyOf(held.keySet());
  }

  /** One judgement for each group that a fresh observation names, sorted by name. */
  public List<MergedGroup> merge(long nowMs) {
    Map<GroupId, List<Aged>> byGroup = new TreeMap<>();
    for (Held entry : held.values()) {
      long sinceMs = nowMs - entry.statedMs();
      for (ObservedGroup observed : entry.observation().groups()) {
        long ageMs = sinceMs + observed.ageMs();
        if (sinceMs <= freshMs) {
          byGroup
              .computeIfAbsent(observed.group().id(), id -> new ArrayList<>())
              .add(new Aged(observed, ageMs));
        }
      }
    }
    return byGroup.values().stream().map(aged -> judge(aged, nowMs)).toList();
  }

  private MergedGroup judge(List<Aged> all, long nowMs) {
    long newestEpoch =
        all.stream().mapToLong(aged -> aged.observed().group().epoch()).max().orElse(0);
    List<Aged> current =
        all.stream().filter(aged -> aged.observed().group().epoch() == newestEpoch).toList();
    Aged youngest = youngest(current.stream());
    for (Aged aged : current) {
      if (aged.observed().verdict() == Verdict.CONTRADICTED) {
        return MergedGroup.closed(aged.observed().group(), aged.observed().reason());
      }
    }
    List<Aged> whole =
        current.stream()
            .filter(aged -> aged.observed().verdict() == Verdict.WHOLE && aged.ageMs() <= freshMs)
            .toList();
    if (whole.isEmpty()) {
      return MergedGroup.silent(youngest.observed().group(), youngest.observed().reason());
    }
    Aged best = youngest(whole.stream());
    return MergedGroup.open(best.observed().group(), nowMs + freshMs - best.ageMs());
  }

  private static Aged youngest(Stream<Aged> aged) {
    return aged.min(Comparator.comparingLong(Aged::ageMs)).orElseThrow();
  }

  private record Held(Observation observation, long statedMs) {}

  private record Aged(ObservedGroup observed, long ageMs) {}
}
