package org.limpetring.store;

/** Object read from the store: key, UTF-8 value and, as version, the revision of its last write. */
public record StoredObject(String key, String value, long version) {}
