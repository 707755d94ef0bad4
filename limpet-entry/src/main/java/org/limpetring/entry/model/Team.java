package org.limpetring.entry.model;

/**
 * Group of callers with common keys.
 *
 * @param priority priority that overrides the route's; {@link #NO_PRIORITY} if none is set
 */
public record Team(String name, int priority) {

  /** Value without a team priority; the route's applies. */
  public static final int NO_PRIORITY = -1;
}
