package org.limpetring.store.client;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.Test;
import org.limpetring.base.Clock;
import org.limpetring.base.ManualClock;
import org.limpetring.store.ListResult;
import org.limpetring.store.ObjectStore;
import org.limpetring.store.ReadResult;
import org.limpetring.store.StoredObject;
import org.limpetring.store.WatchResult;
import org.limpetring.store.WatchResult.Change;
import org.limpetring.store.WriteResult;
import org.limpetring.store.memory.FaultyObjectStore;
import org.limpetring.store.memory.MemoryObjectStore;

class ObjectWatcherTest {

  private static final long WAIT_MS = 1_000;
  private static final Change CHANGE = new Change("p/a", "1", 8, false);

  private final ManualClock clock = new ManualClock(0);
  private final List<String> notifications = Collections.synchronizedList(new ArrayList<>());

  @Test
  void confirmationIsNeverLaterThanTheConfirmedState() {
    ObjectWatcher watcher =
        watcher(
            new Call(200, new ListResult.Listed(List.of(), 5)),
            new Call(1_004, new WatchResult.Changes(List.of(), 7)),
            new Call(300, new WatchResult.Changes(List.of(CHANGE), 8)),
            new Call(100, new WatchResult.Changes(List.of(), 8)));
    assertThat(watcher.step()).isEqualTo(0);
    assertThat(watcher.step()).isEqualTo(0);
    assertThat(watcher.step()).isEqualTo(0);
    assertThat(watcher.step()).isEqualTo(WAIT_MS - 100);
    assertThat(notifications)
        .containsExactly(
            "snapshot 5",
            "confirmed 0",
            "confirmed 1200",
            "change 8",
            "confirmed 1204",
            "confirmed 1604")
        .inOrder();
  }

  @Test
  void unknownRevisionLeadsToANewListing() {
    for (WatchResult unusable :
        List.of(new WatchResult.Compacted(20), new WatchResult.Changes(List.of(), 3))) {
      notifications.clear();
      ObjectWatcher watcher =
          watcher(
              new Call(0, new ListResult.Listed(List.of(), 5)),
              new Call(0, unusable),
              new Call(0, new ListResult.Listed(List.of(), 21)));
      for (int call = 0; call < 3; call++) {
        watcher.step();
      }
      assertThat(notifications).containsAtLeast("snapshot 5", "snapshot 21").inOrder();
      assertThat(notifications).hasSize(4);
    }
  }

  @Test
  void failedCallsBackOffAndConfirmNothing() {
    ObjectWatcher watcher =
        watcher(
            new Call(0, new ListResult.Unavailable("down")),
            new Call(0, new ListResult.Listed(List.of(), 5)),
            new Call(2_500, new WatchResult.Unavailable("timeout")),
            new Call(0, new WatchResult.Changes(List.of(CHANGE), 8)));
    assertThat(watcher.step()).isGreaterThan(0);
    assertThat(notifications).isEmpty();
    watcher.step();
    assertThat(watcher.step()).isGreaterThan(0);
    watcher.step();
    assertThat(notifications)
        .containsExactly("snapshot 5", "confirmed 0", "change 8", "confirmed 2500")
        .inOrder();
  }

  @Test
  void watcherResumesAfterAnOutage() {
    MemoryObjectStore memory = new MemoryObjectStore();
    FaultyObjectStore store = new FaultyObjectStore(memory);
    try (ObjectWatcher watcher =
        new ObjectWatcher(
            store, "p/", recorder(), Clock.system(), Pause.sleeping(), new Backoff(5, 20, 1), 50)) {
      watcher.start();
      Awaitility.await().until(() -> notifications.contains("snapshot 0"));
      memory.put("p/a", "1", 0);
      Awaitility.await().until(() -> notifications.contains("change 1"));
      store.setDown(true);
      memory.put("p/b", "2", 0);
      memory.put("other", "3", 0);
      store.setDown(false);
      Awaitility.await().until(() -> notifications.contains("change 2"));
      assertThat(notifications).doesNotContain("change 3");
    }
  }

  private ObjectWatcher watcher(Call... calls) {
    return new ObjectWatcher(
        new ScriptedCalls(clock, List.of(calls)),
        "p/",
        recorder(),
        clock,
        clock::advance,
        new Backoff(10, 100, 1),
        WAIT_MS);
  }

  private ObjectListener recorder() {
    return new ObjectListener() {
      @Override
      public void onSnapshot(List<StoredObject> objects, long revision) {
        notifications.add("snapshot " + revision);
      }

      @Override
      public void onChange(Change change) {
        notifications.add("change " + change.version());
      }

      @Override
      public void onConfirmed(long atMs) {
        notifications.add("confirmed " + atMs);
      }
    };
  }

  private record Call(long takesMs, Object result) {}

  private static final class ScriptedCalls implements ObjectStore {
    private final ManualClock clock;
    private final List<Call> remainingCalls;

    ScriptedCalls(ManualClock clock, List<Call> calls) {
      this.clock = clock;
      this.remainingCalls = new ArrayList<>(calls);
    }

    @Override
    public ListResult list(String prefix) {
      return (ListResult) next();
    }

    @Override
    public WatchResult watch(String prefix, long afterRevision, long waitMs) {
      return (WatchResult) next();
    }

    @Override
    public ReadResult get(String key) {
      throw new UnsupportedOperationException();
    }

    @Override
    public WriteResult put(String key, String value, long expectedVersion) {
      throw new UnsupportedOperationException();
    }

    @Override
    public WriteResult delete(String key, long expectedVersion) {
      throw new UnsupportedOperationException();
    }

    private Object next() {
      Call call = remainingCalls.remove(0);
      clock.advance(call.takesMs());
      return call.result();
    }
  }
}
