package org.limpetring.entry.port;

import java.util.List;

/**
 * Objects of one kind, or their changes.
 *
 * @param revision store revision up to which the result is complete
 */
public record StoredObjects<T>(List<StoredObject<T>> objects, long revision) {

  /** Makes a defensive copy of the list. */
  public StoredObjects {
    objects = List.copyOf(objects);
  }
}
