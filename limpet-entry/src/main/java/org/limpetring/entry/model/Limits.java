package org.limpetring.entry.model;

/** Bounds on what a caller may send and how long it may take. */
public record Limits(
    int maxHeaderBytes, long maxBodyBytes, long headerTimeoutMs, long idleTimeoutMs) {

  /** Before a configuration is known. */
  public static final Limits UNKNOWN = new Limits(16_384, 4_194_304, 10_000, 60_000);
}
