package org.limpetring.base;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/** Name of the team that a caller belongs to. */
public record CallerId(@JsonValue String value) implements Comparable<CallerId> {

  /**
   * Rejects a name that is empty, longer than {@link Names#MAX_LENGTH} or contains a character that
   * is not allowed.
   */
  @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
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
