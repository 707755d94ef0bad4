package org.limpetring.store.client;

import java.util.List;
import org.limpetring.store.StoredObject;
import org.limpetring.store.WatchResult;

/** Receives what an {@link ObjectWatcher} learns, on the watcher's thread. */
public interface ObjectListener {

  /** All objects under the prefix; those that are not listed do not exist. */
  void onSnapshot(List<StoredObject> objects, long revision);

  /** One object was written or deleted. */
  void onChange(WatchResult.Change change);

  /** All that the platform held at {@code atMs} on the watcher's clock has been passed on. */
  void onConfirmed(long atMs);
}
