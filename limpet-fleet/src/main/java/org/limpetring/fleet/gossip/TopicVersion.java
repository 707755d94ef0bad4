package org.limpetring.fleet.gossip;

/** Name and version of a topic, without its value. */
public record TopicVersion(String topic, long version) {}
