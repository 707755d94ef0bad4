package org.limpetring.base;

/** Set of hosts joined by one fast fabric; a group never spans two of them. */
public record FabricDomain(String value) implements Comparable<FabricDomain> {

  /** Rejects a name that is empty, longer than {@link Names#MAX_LENGTH} or oddly spelled. */
  public FabricDomain {
    Names.check("fabric domain", value);
  }

  @Override
  public int compareTo(FabricDomain other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
