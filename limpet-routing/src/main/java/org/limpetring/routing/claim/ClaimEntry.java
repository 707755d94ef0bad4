package org.limpetring.routing.claim;

/**
 * Durable record of one claimed key.
 *
 * @param keyTimeMs creation time of the key, in milliseconds since the Unix epoch
 */
record ClaimEntry(long keyTimeMs, String attempt, String requestDigest, Fate fate) {

  /** What is known of the claimed work. */
  enum Fate {
    CLAIMED('c'),
    DONE('d'),
    UNKNOWN('u');

    private final char mark;

    Fate(char mark) {
      this.mark = mark;
    }

    char mark() {
      return mark;
    }

    static Fate of(String mark) {
      for (Fate fate : values()) {
        if (mark.length() == 1 && mark.charAt(0) == fate.mark) {
          return fate;
        }
      }
      throw new IllegalArgumentException("fate '" + mark + "'");
    }
  }

  ClaimEntry withFate(Fate next) {
    return new ClaimEntry(keyTimeMs, attempt, requestDigest, next);
  }
}
