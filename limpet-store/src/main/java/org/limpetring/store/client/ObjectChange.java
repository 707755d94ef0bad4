package org.limpetring.store.client;

import org.jspecify.annotations.Nullable;
import org.limpetring.store.StoredObject;

/** Change of one object, computed anew for each version that it is tried on. */
@FunctionalInterface
public interface ObjectChange {

  /**
   * Computes the new value.
   *
   * @param current the object as it stands, or null if it does not exist
   * @return a JSON object as text, or null to leave the object as it is
   */
  @Nullable String apply(@Nullable StoredObject current);
}
