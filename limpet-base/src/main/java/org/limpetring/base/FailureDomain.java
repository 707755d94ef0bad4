package org.limpetring.base;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/** Set of hosts that can be taken out, or can fail, together. */
public record FailureDomain(@JsonValue String value) implements Comparable<FailureDomain> {

  /** Rejects a name that is empty, longer than {@link Names#MAX_LENGTH} or oddly spelled. */
  @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
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
