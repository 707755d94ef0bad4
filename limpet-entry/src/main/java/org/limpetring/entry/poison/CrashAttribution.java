package org.limpetring.entry.poison;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.ToIntFunction;
import org.jspecify.annotations.Nullable;

/**
 * Decides which trait the crashes of upstreams are blamed on.
 *
 * <p>Load pattern: each crash interrupts the request that caused it together with sound ones, which
 * share the caller and all other prompt parts with it. Of the traits of the interrupted requests,
 * the one in most crashes is blamed, and the more specific one of two equal ones: a part that comes
 * later in the prompt is shared by fewer requests. A part is blamed only if different requests with
 * it were interrupted; else it is the request that crashes upstreams. Crashes at nearly the same
 * moment count as one, since a power loss interrupts unrelated requests everywhere.
 */
final class CrashAttribution {

  /** Crashes closer together than this are likely to have one common cause. */
  private static final long MIN_SPACING_MS = 100;

  /**
   * Crash of one upstream.
   *
   * @param atMs time of the first interruption
   * @param suspects traits of each interrupted request that no response has cleared, the most
   *     specific one last
   */
  record Crash(String incarnation, long atMs, List<List<String>> suspects) {

    /** Makes defensive copies of the lists. */
    Crash {
      suspects = suspects.stream().map(List::copyOf).toList();
    }

    boolean involves(String trait) {
      return suspects.stream().anyMatch(traits -> traits.contains(trait));
    }

    /** Whether the trait is one that a suspect may share with different requests. */
    boolean isPromptPart(String trait) {
      return suspects.stream()
          .anyMatch(
              traits -> traits.indexOf(trait) >= 0 && !traits.get(traits.size() - 1).equals(trait));
    }
  }

  /**
   * A trait and the crashes that it explains.
   *
   * @param crashes their number; see {@link CrashAttribution}
   * @param specificity greatest index of the trait in a suspect
   * @param lastMs time of the latest one
   */
  record Blame(String trait, TraitKind kind, int crashes, int specificity, long lastMs) {}

  private static final class Tally {
    final List<Long> timesMs = new ArrayList<>();
    final Set<String> requests = new HashSet<>();
    TraitKind kind = TraitKind.PROMPT_PART;
    int specificity;

    Blame blame(String trait) {
      long lastMs = timesMs.stream().max(Comparator.naturalOrder()).orElseThrow();
      return new Blame(trait, kind, spacedCount(timesMs), specificity, lastMs);
    }
  }

  private CrashAttribution() {}

  /**
   * Returns the traits to blame, the one that explains the most crashes first.
   *
   * @param known traits that explain crashes without further evidence
   * @param threshold number of crashes from which a trait of a kind is blamed
   */
  static List<Blame> attribute(
      List<Crash> crashes, Set<String> known, ToIntFunction<TraitKind> threshold) {
    List<Crash> unexplained = crashes;
    for (String trait : known) {
      unexplained = explain(unexplained, trait);
    }
    Set<String> excluded = new HashSet<>(known);
    List<Blame> blames = new ArrayList<>();
    Blame strongest = strongest(unexplained, excluded, threshold);
    while (strongest != null) {
      blames.add(strongest);
      excluded.add(strongest.trait());
      unexplained = explain(unexplained, strongest.trait());
      strongest = strongest(unexplained, excluded, threshold);
    }
    return blames;
  }

  /**
   * Removes the suspects that a blamed trait clears: all suspects of a crash that a prompt part
   * explains; the other ones of a crash that a single request explains, since a part that it shares
   * with further requests may be the cause.
   */
  static List<Crash> explain(List<Crash> crashes, String trait) {
    List<Crash> unexplained = new ArrayList<>();
    for (Crash crash : crashes) {
      if (!crash.involves(trait)) {
        unexplained.add(crash);
      } else if (!crash.isPromptPart(trait)) {
        List<List<String>> repeats =
            crash.suspects().stream().filter(traits -> traits.contains(trait)).toList();
        unexplained.add(new Crash(crash.incarnation(), crash.atMs(), repeats));
      }
    }
    return unexplained;
  }

  private static @Nullable Blame strongest(
      List<Crash> crashes, Set<String> excluded, ToIntFunction<TraitKind> threshold) {
    Map<String, Tally> tallies = new TreeMap<>();
    for (Crash crash : crashes) {
      tally(crash, tallies);
    }
    return tallies.entrySet().stream()
        .filter(each -> !excluded.contains(each.getKey()))
        .filter(each -> each.getValue().requests.size() >= each.getValue().kind.minRequests())
        .map(each -> each.getValue().blame(each.getKey()))
        .filter(blame -> blame.crashes >= threshold.applyAsInt(blame.kind))
        .max(
            Comparator.comparingInt(Blame::crashes)
                .thenComparingInt(Blame::specificity)
                .thenComparing(Blame::trait))
        .orElse(null);
  }

  private static void tally(Crash crash, Map<String, Tally> tallies) {
    Set<String> counted = new TreeSet<>();
    for (List<String> traits : crash.suspects()) {
      int last = traits.size() - 1;
      for (int i = 0; i <= last; i++) {
        Tally tally = tallies.computeIfAbsent(traits.get(i), trait -> new Tally());
        tally.kind = TraitKind.of(traits.get(i), i == last);
        tally.specificity = Math.max(tally.specificity, i);
        tally.requests.add(traits.get(last));
        if (counted.add(traits.get(i))) {
          tally.timesMs.add(crash.atMs());
        }
      }
    }
  }

  /** Number of crashes, where those within {@link #MIN_SPACING_MS} of a counted one don't count. */
  private static int spacedCount(List<Long> timesMs) {
    int count = 0;
    long lastMs = Long.MIN_VALUE / 2;
    for (long timeMs : timesMs.stream().sorted().toList()) {
      if (timeMs - lastMs >= MIN_SPACING_MS) {
        count++;
        lastMs = timeMs;
      }
    }
    return count;
  }
}
