package org.limpetring.base;

/** Name of the team that a caller belongs to. */
public record CallerId(String value) implements Comparable<CallerId> {

  /** Rejects a name that is empty, longer than {@link Names#MAX_LENGTH} or oddly spelled. */
  public CallerId {
    Names.check("caller", value);
  }

  @Override
  public int compareTo(CallerId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
