package org.limpetring.entry.port;

import java.util.List;

/**
 * Objects of one kind, or their changes.
 *
 * @param revision the store's revision up to which the answer is complete
 */
public record StoredObjects<T>(List<StoredObject<T>> objects, long revision) {

  /** Copies the list. */
  public StoredObjects {
    objects = List.copyOf(objects);
  }
}
