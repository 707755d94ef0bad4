package org.limpetring.routing.claim;

/**
 * Durable record of one claimed key.
 *
 * @param keyTimeMs creation time of the key, in milliseconds since the Unix epoch
 */
record ClaimEntry(long keyTimeMs, String attempt, String requestDigest, State state) {

  /** State of the claimed work; the codes are part of the stored format. */
  enum State {
    CLAIMED('c'),
    DONE('d'),
    UNKNOWN('u');

    private final char code;

    State(char code) {
      this.code = code;
    }

    char code() {
      return code;
    }

    static State of(String code) {
      for (State state : values()) {
        if (code.length() == 1 && code.charAt(0) == state.code) {
          return state;
        }
      }
      throw new IllegalArgumentException("unknown claim state '" + code + "'");
    }
  }

  ClaimEntry withState(State next) {
    return new ClaimEntry(keyTimeMs, attempt, requestDigest, next);
  }
}
