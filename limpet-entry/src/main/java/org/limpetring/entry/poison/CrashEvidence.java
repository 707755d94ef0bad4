package org.limpetring.entry.poison;

import java.util.List;

/**
 * What a daemon tells others about crashed upstreams. Times are ages, since daemons share no clock.
 *
 * @param interruptions requests that were interrupted before their response began
 * @param answered traits of requests whose response began, with the time since the latest one
 * @param quarantined traits under quarantine, with the time since their latest crash
 */
public record CrashEvidence(
    List<Interruption> interruptions, List<Sighting> answered, List<Sighting> quarantined) {

  /** Nothing to tell. */
  public static final CrashEvidence NONE = new CrashEvidence(List.of(), List.of(), List.of());

  /**
   * Interrupted request.
   *
   * @param incarnation incarnation of the upstream that the connection led to
   * @param traits what the request shares with others, the most specific one last
   * @param isCrash whether the upstream was found to have ended, not just its connection
   */
  public record Interruption(String incarnation, List<String> traits, long ageMs, boolean isCrash) {

    /** Makes a defensive copy of the traits. */
    public Interruption {
      traits = List.copyOf(traits);
    }
  }

  /** Trait and the time since it was last seen. */
  public record Sighting(String trait, long ageMs) {}

  /** Makes defensive copies of the lists. */
  public CrashEvidence {
    interruptions = List.copyOf(interruptions);
    answered = List.copyOf(answered);
    quarantined = List.copyOf(quarantined);
  }
}
