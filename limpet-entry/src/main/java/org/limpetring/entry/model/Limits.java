package org.limpetring.entry.model;

/** Size and time limits of callers' requests. */
public record Limits(
    int maxHeaderBytes, long maxBodyBytes, long headerTimeoutMs, long idleTimeoutMs) {

  /** Limits that apply until a configuration is loaded. */
  public static final Limits UNKNOWN = new Limits(16_384, 4_194_304, 10_000, 60_000);
}
