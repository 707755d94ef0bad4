package org.limpetring.base;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/** Name of one daemon process; a restarted daemon takes a new one. */
public record DaemonId(@JsonValue String value) implements Comparable<DaemonId> {

  /**
   * Rejects a name that is empty, longer than {@link Names#MAX_LENGTH} or contains a character that
   * is not allowed.
   */
  @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
  public DaemonId {
    Names.check("daemon", value);
  }

  @Override
  public int compareTo(DaemonId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
