package org.limpetring.entry.poison;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.limpetring.entry.poison.CrashAttribution.Blame;
import org.limpetring.entry.poison.CrashAttribution.Crash;

/**
 * Decides which traits of requests crash upstreams, so that requests with them are refused.
 *
 * <p>Load pattern: requests of which no two are alike share one prompt part that crashes each
 * engine that begins to answer it, or one request comes again and again. They reach any daemon, and
 * each crash also interrupts up to a group's slots of sound requests.
 *
 * <p>A request that was interrupted before its response began is a suspect for the crash; one whose
 * response had begun is not. A response that begins clears its request's traits of all earlier
 * crashes. A connection that merely broke is no crash: the upstream must be found to have ended.
 * {@link CrashAttribution} chooses among the suspects; the crashes that a quarantined prompt part
 * explains count against no other trait.
 *
 * <p>While evidence may still be on its way, the quarantine follows from what has arrived and is
 * revised with it; later it is kept without its evidence. After its quarantine a trait is tried
 * again, and one further crash renews it. Daemons exchange their evidence, and its order of arrival
 * doesn't matter.
 */
public final class PoisonDetector {

  /** Crashes from which an interrupted request with a trait is not sent again. */
  private static final int MAX_CRASHES_FOR_RETRY = 2;

  /** Time around a crash in which the upstream is found to have ended. */
  private static final long CONFIRMATION_MS = 5_000;

  /** Quarantine after the latest crash. */
  static final long QUARANTINE_MS = 300_000;

  /** Time after which a trait's crashes are forgotten. */
  private static final long RETENTION_MS = 3_600_000;

  /** Age up to which evidence is announced; several intervals of announcements. */
  private static final long ANNOUNCED_MS = 3_000;

  /**
   * Difference below which two times are of the same event. Ages grow by the delay of each
   * announcement, so without it daemons would renew each other's evidence.
   */
  private static final long DELAY_TOLERANCE_MS = 250;

  private static final int MAX_SUSPECTS = 64;

  /** Suspects and answered traits in one announcement, which has to fit into a datagram. */
  private static final int MAX_ANNOUNCED_SUSPECTS = 32;

  private static final int MAX_ANNOUNCED_ANSWERS = 64;
  private static final int MAX_ANSWERED = 512;
  private static final int MAX_QUARANTINED = 64;

  /**
   * Change of the quarantine.
   *
   * @param crashes crashes that the trait explains; 0 if a peer found it
   * @param isQuarantined false if the trait is released, since a request with it was answered or
   *     another trait explains its crashes
   */
  public record Finding(String trait, int crashes, boolean isQuarantined) {}

  private record Key(String incarnation, List<String> traits) {}

  /** Request that was interrupted before its response began. */
  private static final class Suspect {
    final Key key;
    final long atMs;
    boolean isCrash;
    boolean isOwn;

    Suspect(Key key, long atMs) {
      this.key = key;
      this.atMs = atMs;
    }
  }

  private record Answer(long atMs, boolean isOwn) {}

  /** Discards the least recently used entry when it is full. */
  private static final class LruMap<V> extends LinkedHashMap<String, V> {
    private static final long serialVersionUID = 1L;
    private final int capacity;

    LruMap(int capacity) {
      super(16, 0.75f, true);
      this.capacity = capacity;
    }

    @Override
    protected boolean removeEldestEntry(Map.Entry<String, V> eldest) {
      return size() > capacity;
    }
  }

  private final Map<Key, Suspect> suspects = new LinkedHashMap<>();
  private final Map<String, Answer> answers = new LruMap<>(MAX_ANSWERED);
  private final Map<String, Long> lostMs = new HashMap<>();

  /** Traits named in recent evidence, own or received, about which peers want to know. */
  private final Map<String, Long> disputedMs = new HashMap<>();

  /** Latest crash of each trait that is or was quarantined and that no evidence may change. */
  private final Map<String, Long> lastCrashMs = new LruMap<>(MAX_QUARANTINED);

  /** As {@link #lastCrashMs}, while evidence from other daemons may still change the blame. */
  private final Map<String, Long> provisionalMs = new HashMap<>();

  /** Crashes that a quarantined prompt part explains; their other suspects are cleared. */
  private final Map<String, Long> explainedMs = new HashMap<>();

  private Set<String> unretriable = Set.of();
  private boolean isChanged;

  /** The connection broke before the response to a request with these traits began. */
  public void onInterrupted(String incarnation, List<String> traits, long nowMs) {
    dispute(traits, nowMs);
    addSuspect(incarnation, traits, nowMs, false, true);
  }

  /** The response to a request with these traits began. */
  public void onAnswering(List<String> traits, long nowMs) {
    for (String trait : traits) {
      answers.put(trait, new Answer(nowMs, true));
      isChanged = isChanged || disputedMs.containsKey(trait) || lastCrashMs.containsKey(trait);
    }
  }

  /** The upstream's process was found to have ended; returns whether that confirms a crash. */
  public boolean onUpstreamLost(String incarnation, long nowMs) {
    lostMs.putIfAbsent(incarnation, nowMs);
    for (Suspect suspect : suspects.values()) {
      confirm(suspect);
    }
    return isChanged;
  }

  /** Applies another daemon's evidence; returns whether it was new. */
  public boolean merge(CrashEvidence evidence, long nowMs) {
    for (CrashEvidence.Sighting sighting : evidence.answered()) {
      long atMs = nowMs - sighting.ageMs();
      Answer known = answers.get(sighting.trait());
      if (known == null || known.atMs() + DELAY_TOLERANCE_MS < atMs) {
        answers.put(sighting.trait(), new Answer(atMs, false));
        isChanged = true;
      }
    }
    for (CrashEvidence.Interruption each : evidence.interruptions()) {
      dispute(each.traits(), nowMs);
      addSuspect(each.incarnation(), each.traits(), nowMs - each.ageMs(), each.isCrash(), false);
    }
    for (CrashEvidence.Sighting sighting : evidence.quarantined()) {
      dispute(List.of(sighting.trait()), nowMs);
      long atMs = nowMs - sighting.ageMs();
      Long known = lastCrashMs.get(sighting.trait());
      if (!isAnsweredSince(sighting.trait(), atMs)
          && (known == null || known + DELAY_TOLERANCE_MS < atMs)) {
        lastCrashMs.put(sighting.trait(), atMs);
        isChanged = true;
      }
    }
    return isChanged;
  }

  private void dispute(List<String> traits, long nowMs) {
    for (String trait : traits) {
      disputedMs.put(trait, nowMs);
    }
  }

  private void addSuspect(
      String incarnation, List<String> traits, long atMs, boolean isCrash, boolean isOwn) {
    if (explainedMs.containsKey(incarnation)) {
      return;
    }
    Key key = new Key(incarnation, List.copyOf(traits));
    Suspect suspect = suspects.get(key);
    if (suspect == null) {
      suspect = new Suspect(key, atMs);
      suspects.put(key, suspect);
      isChanged = true;
      if (suspects.size() > MAX_SUSPECTS) {
        removeOldest();
      }
    }
    suspect.isOwn = suspect.isOwn || isOwn;
    if (isCrash && !suspect.isCrash) {
      suspect.isCrash = true;
      isChanged = true;
    }
    confirm(suspect);
  }

  private void removeOldest() {
    Iterator<Suspect> oldest = suspects.values().iterator();
    oldest.next();
    oldest.remove();
  }

  private void confirm(Suspect suspect) {
    Long lost = lostMs.get(suspect.key.incarnation());
    if (lost != null && !suspect.isCrash && Math.abs(lost - suspect.atMs) <= CONFIRMATION_MS) {
      suspect.isCrash = true;
      // peers that lack the confirmation learn it from this daemon
      suspect.isOwn = true;
      isChanged = true;
    }
  }

  private boolean isAnsweredSince(String trait, long atMs) {
    Answer answer = answers.get(trait);
    return answer != null && answer.atMs() >= atMs;
  }

  /** Draws the conclusions from the evidence so far; returns what they change. */
  public List<Finding> review(long nowMs) {
    if (!isChanged && provisionalMs.isEmpty()) {
      return List.of();
    }
    isChanged = false;
    Set<String> before = quarantinedTraits();
    lastCrashMs.entrySet().removeIf(each -> isAnsweredSince(each.getKey(), each.getValue()));
    List<Crash> confirmed = crashes(true);
    for (String trait : List.copyOf(lastCrashMs.keySet())) {
      confirmed.stream()
          .filter(crash -> crash.involves(trait))
          .forEach(crash -> lastCrashMs.merge(trait, crash.atMs(), Math::max));
    }
    provisionalMs.clear();
    Map<String, Integer> crashCounts = new HashMap<>();
    for (Blame blame :
        CrashAttribution.attribute(confirmed, lastCrashMs.keySet(), TraitKind::maxCrashes)) {
      crashCounts.put(blame.trait(), blame.crashes());
      boolean isSettled = nowMs - blame.lastMs() >= ANNOUNCED_MS;
      (isSettled ? lastCrashMs : provisionalMs).put(blame.trait(), blame.lastMs());
    }
    discardExplained(confirmed, nowMs);
    Set<String> after = quarantinedTraits();
    unretriable = new HashSet<>(after);
    for (Blame blame :
        CrashAttribution.attribute(crashes(false), after, kind -> MAX_CRASHES_FOR_RETRY)) {
      unretriable.add(blame.trait());
    }
    return findings(before, after, crashCounts);
  }

  private Set<String> quarantinedTraits() {
    Set<String> traits = new LinkedHashSet<>(lastCrashMs.keySet());
    traits.addAll(provisionalMs.keySet());
    return traits;
  }

  private static List<Finding> findings(
      Set<String> before, Set<String> after, Map<String, Integer> crashCounts) {
    List<Finding> findings = new ArrayList<>();
    for (String trait : after) {
      if (!before.contains(trait)) {
        findings.add(new Finding(trait, crashCounts.getOrDefault(trait, 0), true));
      }
    }
    for (String trait : before) {
      if (!after.contains(trait)) {
        findings.add(new Finding(trait, 0, false));
      }
    }
    return findings;
  }

  /** Crashes that a settled prompt part explains are not needed further. */
  private void discardExplained(List<Crash> confirmed, long nowMs) {
    for (String trait : lastCrashMs.keySet()) {
      for (Crash crash : confirmed) {
        if (crash.isPromptPart(trait) && nowMs - crash.atMs() >= ANNOUNCED_MS) {
          explainedMs.put(crash.incarnation(), nowMs);
        }
      }
    }
    suspects.keySet().removeIf(key -> explainedMs.containsKey(key.incarnation()));
  }

  /** Groups the suspects by crash, without the traits that were answered since. */
  private List<Crash> crashes(boolean isConfirmedOnly) {
    Map<String, List<Suspect>> byCrash = new LinkedHashMap<>();
    for (Suspect suspect : suspects.values()) {
      byCrash.computeIfAbsent(suspect.key.incarnation(), key -> new ArrayList<>()).add(suspect);
    }
    List<Crash> crashes = new ArrayList<>();
    byCrash.forEach(
        (incarnation, each) -> {
          if (!isConfirmedOnly || each.stream().anyMatch(suspect -> suspect.isCrash)) {
            long atMs = each.stream().mapToLong(suspect -> suspect.atMs).min().orElseThrow();
            List<List<String>> traits = each.stream().map(this::unclearedTraits).toList();
            crashes.add(new Crash(incarnation, atMs, traits));
          }
        });
    return crashes;
  }

  private List<String> unclearedTraits(Suspect suspect) {
    List<String> traits = suspect.key.traits();
    if (isAnsweredSince(traits.get(traits.size() - 1), suspect.atMs)) {
      return List.of();
    }
    return traits.stream().filter(trait -> !isAnsweredSince(trait, suspect.atMs)).toList();
  }

  /** Whether no trait is quarantined, so that no request needs to be checked. */
  public boolean isQuarantineEmpty() {
    return lastCrashMs.isEmpty() && provisionalMs.isEmpty();
  }

  /** Remaining quarantine of a request with these traits; 0 if it may be sent. */
  public long quarantineLeftMs(List<String> traits, long nowMs) {
    long leftMs = 0;
    for (String trait : traits) {
      Long provisional = provisionalMs.get(trait);
      Long crashMs = provisional != null ? provisional : lastCrashMs.get(trait);
      if (crashMs != null) {
        leftMs = Math.max(leftMs, crashMs + QUARANTINE_MS - nowMs);
      }
    }
    return leftMs;
  }

  /** Whether an interrupted request with these traits may be sent again. */
  public boolean mayRetry(List<String> traits) {
    return traits.stream().noneMatch(unretriable::contains);
  }

  /** Number of quarantined traits. */
  public int quarantinedCount(long nowMs) {
    return provisionalMs.size()
        + (int) lastCrashMs.values().stream().filter(atMs -> nowMs - atMs < QUARANTINE_MS).count();
  }

  /**
   * Returns evidence to announce.
   *
   * @param isRelay whether to include what other daemons announced
   */
  public CrashEvidence evidence(boolean isRelay, long nowMs) {
    if (disputedMs.isEmpty() && lastCrashMs.isEmpty()) {
      return CrashEvidence.NONE;
    }
    List<CrashEvidence.Interruption> interruptions =
        suspects.values().stream()
            .filter(suspect -> nowMs - suspect.atMs < ANNOUNCED_MS && (isRelay || suspect.isOwn))
            .sorted(Comparator.comparingLong((Suspect suspect) -> suspect.atMs).reversed())
            .limit(MAX_ANNOUNCED_SUSPECTS)
            .map(
                suspect ->
                    new CrashEvidence.Interruption(
                        suspect.key.incarnation(),
                        suspect.key.traits(),
                        nowMs - suspect.atMs,
                        suspect.isCrash))
            .toList();
    List<CrashEvidence.Sighting> answered = new ArrayList<>();
    for (String trait : disputedMs.keySet()) {
      Answer answer = answers.get(trait);
      if (answer != null
          && (isRelay || answer.isOwn())
          && answered.size() < MAX_ANNOUNCED_ANSWERS) {
        answered.add(new CrashEvidence.Sighting(trait, nowMs - answer.atMs()));
      }
    }
    List<CrashEvidence.Sighting> quarantined = new ArrayList<>();
    lastCrashMs.forEach(
        (trait, atMs) -> quarantined.add(new CrashEvidence.Sighting(trait, nowMs - atMs)));
    return new CrashEvidence(interruptions, answered, quarantined);
  }

  /** Discards outdated evidence. */
  public void expire(long nowMs) {
    suspects.values().removeIf(suspect -> nowMs - suspect.atMs > QUARANTINE_MS);
    explainedMs.values().removeIf(atMs -> nowMs - atMs > QUARANTINE_MS);
    lostMs.values().removeIf(atMs -> nowMs - atMs > 2 * CONFIRMATION_MS);
    disputedMs.values().removeIf(atMs -> nowMs - atMs > ANNOUNCED_MS);
    lastCrashMs.values().removeIf(atMs -> nowMs - atMs > RETENTION_MS);
  }
}
