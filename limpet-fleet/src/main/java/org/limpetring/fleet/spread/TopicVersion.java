package org.limpetring.fleet.spread;

/** Name and version of a topic, without its value. */
public record TopicVersion(String topic, long version) {}
