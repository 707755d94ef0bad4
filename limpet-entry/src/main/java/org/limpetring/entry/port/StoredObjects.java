package org.limpetring.entry.port;

import java.util.List;

/**
 * Objects of one kind, or their changes.
 *
 * @param position position of the store up to which the result is complete
 */
public record StoredObjects<T>(List<StoredObject<T>> objects, StorePosition position) {

  /** Makes a defensive copy of the list. */
  public StoredObjects {
    objects = List.copyOf(objects);
  }

  /** Objects of a store that names no era. */
  public StoredObjects(List<StoredObject<T>> objects, long revision) {
    this(objects, new StorePosition(0, revision));
  }

  /** Revision up to which the result is complete, for logs and watches. */
  public long revision() {
    return position.revision();
  }
}
