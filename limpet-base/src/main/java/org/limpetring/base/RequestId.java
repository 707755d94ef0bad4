package org.limpetring.base;

/** Identifier of one caller's request, echoed by the upstream that answers it. */
public record RequestId(String value) implements Comparable<RequestId> {

  /** Rejects a name that is empty, longer than {@link Names#MAX_LENGTH} or oddly spelled. */
  public RequestId {
    Names.check("request", value);
  }

  @Override
  public int compareTo(RequestId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
