package org.limpetring.base;

/** Name of one daemon process; a restarted daemon takes a new one. */
public record DaemonId(String value) implements Comparable<DaemonId> {

  /** Rejects a name that is empty, longer than {@link Names#MAX_LENGTH} or oddly spelled. */
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
