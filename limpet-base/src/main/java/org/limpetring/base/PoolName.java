package org.limpetring.base;

/** Name of a row of the pool table. */
public record PoolName(String value) implements Comparable<PoolName> {

  /** Rejects a name that is empty, longer than {@link Names#MAX_LENGTH} or oddly spelled. */
  public PoolName {
    Names.check("pool", value);
  }

  @Override
  public int compareTo(PoolName other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
