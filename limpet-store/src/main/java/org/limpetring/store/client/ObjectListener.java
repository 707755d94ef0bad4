package org.limpetring.store.client;

import java.util.List;
import org.limpetring.store.StoredObject;
import org.limpetring.store.WatchResult;

/** Receives the state and changes observed by an {@link ObjectWatcher}, on the watcher's thread. */
public interface ObjectListener {

  /** Receives all objects under the prefix; objects that are not listed do not exist. */
  void onSnapshot(List<StoredObject> objects, long revision);

  /** Receives the write or deletion of one object. */
  void onChange(WatchResult.Change change);

  /**
   * Confirms that the listener has received the complete state of the platform as of {@code atMs}
   * on the watcher's clock.
   */
  void onConfirmed(long atMs);
}
