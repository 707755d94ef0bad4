package org.limpetring.base;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/** Name of one group: the hosts that together hold one replica of a model. */
public record GroupId(@JsonValue String value) implements Comparable<GroupId> {

  /**
   * Rejects a name that is empty, longer than {@link Names#MAX_LENGTH} or contains a character that
   * is not allowed.
   */
  @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
  public GroupId {
    Names.check("group", value);
  }

  @Override
  public int compareTo(GroupId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
