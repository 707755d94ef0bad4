package org.limpetring.entry.port;

import org.jspecify.annotations.Nullable;

/**
 * Object in the store, or its removal.
 *
 * @param revision revision of the last change
 * @param value null if the object was removed or can't be decoded
 * @param isRemoved whether the object was removed
 */
public record StoredObject<T>(String name, long revision, @Nullable T value, boolean isRemoved) {}
