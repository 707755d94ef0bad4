package org.limpetring.base;

/** Set of hosts that can be taken out, or can fail, together. */
public record FailureDomain(String value) implements Comparable<FailureDomain> {

  /** Rejects a name that is empty, longer than {@link Names#MAX_LENGTH} or oddly spelled. */
  public FailureDomain {
    Names.check("failure domain", value);
  }

  @Override
  public int compareTo(FailureDomain other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
