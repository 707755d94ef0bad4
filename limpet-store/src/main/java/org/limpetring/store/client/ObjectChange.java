package org.limpetring.store.client;

import org.jspecify.annotations.Nullable;
import org.limpetring.store.StoredObject;

/** Change of one object, computed again for each version that it is applied to. */
@FunctionalInterface
public interface ObjectChange {

  /**
   * Computes the new value.
   *
   * @param current the current object, or null if it does not exist
   * @return the new value, a JSON object as text, or null to leave the object unchanged
   */
  @Nullable String apply(@Nullable StoredObject current);
}
