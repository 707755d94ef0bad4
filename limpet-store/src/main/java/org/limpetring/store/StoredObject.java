package org.limpetring.store;

/** Object as read: key, UTF-8 value and the revision of its last write. */
public record StoredObject(String key, String value, long version) {}
