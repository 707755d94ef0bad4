package org.limpetring.store.memory;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;
import org.limpetring.store.ListResult;
import org.limpetring.store.ObjectStore;
import org.limpetring.store.ReadResult;
import org.limpetring.store.StoredObject;
import org.limpetring.store.WatchResult;
import org.limpetring.store.WatchResult.Change;
import org.limpetring.store.WriteResult;

/** Linearizable in-memory object store with a bounded change log for watches. */
public final class MemoryObjectStore implements ObjectStore {

  private static final int MAX_LOG_ENTRIES = 10_000;

  private final TreeMap<String, StoredObject> objects = new TreeMap<>();
  private final List<Change> changeLog = new ArrayList<>();
  private long revision;
  private long compactedRevision;

  @Override
  public synchronized ReadResult get(String key) {
    StoredObject found = objects.get(key);
    return found == null ? new ReadResult.Missing(revision) : new ReadResult.Found(found);
  }

  @Override
  public synchronized ListResult list(String prefix) {
    return new ListResult.Listed(
        objects.tailMap(prefix).values().stream()
            .takeWhile(object -> object.key().startsWith(prefix))
            .toList(),
        revision);
  }

  @Override
  public synchronized WriteResult put(String key, String value, long expectedVersion) {
    if (value.getBytes(StandardCharsets.UTF_8).length > MAX_VALUE_BYTES) {
      return new WriteResult.Unavailable("value too large");
    }
    if (version(key) != expectedVersion) {
      return new WriteResult.Conflict(version(key));
    }
    revision++;
    objects.put(key, new StoredObject(key, value, revision));
    append(new Change(key, value, revision, false));
    return new WriteResult.Written(revision);
  }

  @Override
  public synchronized WriteResult delete(String key, long expectedVersion) {
    if (version(key) != expectedVersion || expectedVersion == 0) {
      return new WriteResult.Conflict(version(key));
    }
    revision++;
    objects.remove(key);
    append(new Change(key, "", revision, true));
    return new WriteResult.Written(revision);
  }

  @Override
  public synchronized WatchResult watch(String prefix, long afterRevision, long waitMs) {
    long endNs = System.nanoTime() + waitMs * 1_000_000L;
    while (true) {
      if (afterRevision < compactedRevision) {
        return new WatchResult.Compacted(compactedRevision);
      }
      List<Change> changes = changesAfter(prefix, afterRevision);
      long remainingMs = (endNs - System.nanoTime()) / 1_000_000L;
      if (!changes.isEmpty() || remainingMs <= 0) {
        return new WatchResult.Changes(changes, revision);
      }
      try {
        wait(remainingMs);
      } catch (InterruptedException interrupted) {
        Thread.currentThread().interrupt();
        return new WatchResult.Unavailable("interrupted");
      }
    }
  }

  private long version(String key) {
    @Nullable StoredObject found = objects.get(key);
    return found == null ? 0 : found.version();
  }

  private void append(Change change) {
    changeLog.add(change);
    if (changeLog.size() > MAX_LOG_ENTRIES) {
      compactedRevision = changeLog.remove(0).version();
    }
    notifyAll();
  }

  private List<Change> changesAfter(String prefix, long afterRevision) {
    Map<String, Change> latest = new LinkedHashMap<>();
    for (Change change : changeLog) {
      if (change.version() > afterRevision && change.key().startsWith(prefix)) {
        latest.remove(change.key());
        latest.put(change.key(), change);
      }
    }
    return List.copyOf(latest.values());
  }
}
