package org.limpetring.base;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/** Set of hosts connected by one fast fabric; a group never spans two of them. */
public record FabricDomain(@JsonValue String value) implements Comparable<FabricDomain> {

  /**
   * Rejects a name that is empty, longer than {@link Names#MAX_LENGTH} or contains a character that
   * is not allowed.
   */
  @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
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
