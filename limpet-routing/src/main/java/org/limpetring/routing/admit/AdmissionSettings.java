package org.limpetring.routing.admit;

/**
 * Settings of one admission gate.
 *
 * @param maxQueuedPerCaller maximum number of queued requests of one caller
 * @param initialServiceMs assumed response time until responses have been observed
 */
public record AdmissionSettings(int maxQueuedPerCaller, long initialServiceMs) {

  /** Default settings of a pool. */
  public static final AdmissionSettings DEFAULT = new AdmissionSettings(256, 500);
}
