package org.limpetring.entry.port;

/** Time for which an upstream that rejected a request wants no others. */
public sealed interface Pause {

  /** The upstream asks for no pause. */
  record None() implements Pause {}

  /**
   * The upstream wants no request for some time.
   *
   * @param durationMs at least 1
   */
  record For(long durationMs) implements Pause {}

  /** The upstream's value is no time; it has no effect. */
  record Malformed(String value) implements Pause {}
}
