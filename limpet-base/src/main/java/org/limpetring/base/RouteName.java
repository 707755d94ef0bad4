package org.limpetring.base;

/** Name of a row of the route table. */
public record RouteName(String value) implements Comparable<RouteName> {

  /** Rejects a name that is empty, longer than {@link Names#MAX_LENGTH} or oddly spelled. */
  public RouteName {
    Names.check("route", value);
  }

  @Override
  public int compareTo(RouteName other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
