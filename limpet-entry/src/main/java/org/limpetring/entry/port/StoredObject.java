package org.limpetring.entry.port;

import org.jspecify.annotations.Nullable;

/**
 * Object as the store holds it, or its removal.
 *
 * @param revision of its last change
 * @param value null if it was removed or can't be read
 * @param isRemoved whether it was removed
 */
public record StoredObject<T>(String name, long revision, @Nullable T value, boolean isRemoved) {}
