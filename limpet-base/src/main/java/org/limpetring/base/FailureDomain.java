package org.limpetring.base;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/** Set of hosts that can fail, or be taken out of service, together. */
public record FailureDomain(@JsonValue String value) implements Comparable<FailureDomain> {

  /**
   * Rejects a name that is empty, longer than {@link Names#MAX_LENGTH} or contains a character that
   * is not allowed.
   */
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
