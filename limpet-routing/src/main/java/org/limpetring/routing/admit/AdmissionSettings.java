package org.limpetring.routing.admit;

/**
 * Bounds of one gate.
 *
 * @param maxQueuedPerCaller longest line of one caller
 * @param initialServiceMs time that an answer takes, until observed
 */
public record AdmissionSettings(int maxQueuedPerCaller, long initialServiceMs) {

  /** Settings of a pool without special needs. */
  public static final AdmissionSettings DEFAULT = new AdmissionSettings(256, 500);
}
