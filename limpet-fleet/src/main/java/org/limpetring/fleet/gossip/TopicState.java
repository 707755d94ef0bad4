package org.limpetring.fleet.gossip;

/**
 * One version of one topic's value.
 *
 * <p>The byte array is shared, not copied, and must not be modified.
 */
public final class TopicState {

  private final String topic;
  private final long version;
  private final byte[] value;

  /**
   * Creates the value of {@code topic} at {@code version}; versions increase from 1 and each
   * identifies one value.
   */
  public TopicState(String topic, long version, byte[] value) {
    this.topic = topic;
    this.version = version;
    this.value = value;
  }

  /** Name of the topic. */
  public String topic() {
    return topic;
  }

  /** Version of the value. */
  public long version() {
    return version;
  }

  /** The value; must not be modified. */
  public byte[] value() {
    return value;
  }

  @Override
  public String toString() {
    return topic + "@" + version;
  }
}
