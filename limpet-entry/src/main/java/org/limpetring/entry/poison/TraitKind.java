package org.limpetring.entry.poison;

/** Kind of a trait, which is told from the separator between its scope and its id. */
enum TraitKind {
  /** Prompt part that different requests share. */
  PROMPT_PART('/', 3, 2),
  /** Fingerprint of a request to a model; only its repeats have the same prompt. */
  PROMPT('#', 2, 1),
  /** Fingerprint of a request to a plain service; equal requests of a team may be common. */
  PLAIN_REQUEST('~', 3, 1);

  private final char separator;
  private final int maxCrashes;
  private final int minRequests;

  TraitKind(char separator, int maxCrashes, int minRequests) {
    this.separator = separator;
    this.maxCrashes = maxCrashes;
    this.minRequests = minRequests;
  }

  /** Returns the trait with that id. */
  String trait(String scope, String id) {
    return scope + separator + id;
  }

  /** Crashes, fleet-wide, that a trait may explain before requests with it are refused. */
  int maxCrashes() {
    return maxCrashes;
  }

  /** Different requests without which a trait is not blamed. */
  int minRequests() {
    return minRequests;
  }

  /** Returns the kind of a trait; ids and scopes of callers may hold any separator. */
  static TraitKind of(String trait, boolean isLast) {
    if (!isLast) {
      return PROMPT_PART;
    }
    return trait.lastIndexOf(PROMPT.separator) > trait.lastIndexOf(PLAIN_REQUEST.separator)
        ? PROMPT
        : PLAIN_REQUEST;
  }
}
