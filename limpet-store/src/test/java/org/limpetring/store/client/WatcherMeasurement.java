package org.limpetring.store.client;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.Test;
import org.limpetring.base.Clock;
import org.limpetring.store.StoredObject;
import org.limpetring.store.WatchResult;
import org.limpetring.store.memory.FaultyObjectStore;
import org.limpetring.store.memory.MemoryObjectStore;

/**
 * Measures the call rate of an idle watcher, with the store available and during an outage. Not
 * part of the default test run, because its class name does not match the test pattern; run it by
 * name. Results go to {@code target/watcher-measurement.txt}.
 */
class WatcherMeasurement {

  private static final int DURATION_S = 10;

  @Test
  void measure() throws IOException {
    StringBuilder report = new StringBuilder();
    for (long waitMs : List.of(1_000L, 2_000L, 5_000L)) {
      report.append(callsPerSecond(waitMs, false));
      report.append(callsPerSecond(waitMs, true));
    }
    Files.writeString(Path.of("target", "watcher-measurement.txt"), report);
  }

  private static String callsPerSecond(long waitMs, boolean isDown) {
    FaultyObjectStore store = new FaultyObjectStore(new MemoryObjectStore());
    store.setDown(isDown);
    try (ObjectWatcher watcher =
        new ObjectWatcher(
            store,
            "p/",
            new NoOpListener(),
            Clock.system(),
            Pause.sleeping(),
            new Backoff(100, 2_000, 1),
            waitMs)) {
      watcher.start();
      LockSupport.parkNanos(TimeUnit.SECONDS.toNanos(DURATION_S));
      double rate = (double) store.calls() / DURATION_S;
      return "wait " + waitMs + " ms, down " + isDown + ": " + rate + " calls/s\n";
    }
  }

  private static final class NoOpListener implements ObjectListener {
    @Override
    public void onSnapshot(List<StoredObject> objects, long revision) {}

    @Override
    public void onChange(WatchResult.Change change) {}

    @Override
    public void onConfirmed(long atMs) {}
  }
}
