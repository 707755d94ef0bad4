package org.limpetring.entry.model;

/**
 * Callers that share keys.
 *
 * @param priority rank that goes before the route's; {@link #NO_PRIORITY} if none is set
 */
public record Team(String name, int priority) {

  /** The route's priority holds. */
  public static final int NO_PRIORITY = -1;
}
