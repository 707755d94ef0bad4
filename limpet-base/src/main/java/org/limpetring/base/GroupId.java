package org.limpetring.base;

/** Name of one group: the hosts that together hold one replica of a model. */
public record GroupId(String value) implements Comparable<GroupId> {

  /** Rejects a name that is empty, longer than {@link Names#MAX_LENGTH} or oddly spelled. */
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
