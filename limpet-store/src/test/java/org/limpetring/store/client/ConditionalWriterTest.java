package org.limpetring.store.client;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.limpetring.base.Clock;
import org.limpetring.base.ManualClock;
import org.limpetring.store.ObjectStore;
import org.limpetring.store.ReadResult;
import org.limpetring.store.StoredObject;
import org.limpetring.store.client.ScriptedObjectStore.Fault;
import org.limpetring.store.memory.MemoryObjectStore;

/**
 * Checks that each update takes effect at most once and that its result is correct, under lost
 * responses, outages and concurrent writes. Each update appends its own name to a list in the
 * object, so the list shows how often it took effect.
 */
class ConditionalWriterTest {

  private static final String KEY = "roster";
  private static final long TIMEOUT_MS = 200;
  private static final int THREADS = 4;
  private static final int UPDATES_PER_THREAD = 50;
  private static final ObjectMapper MAPPER = new ObjectMapper();

  @Property(tries = 3_000, seed = "4711")
  void updateIsAppliedAtMostOnceAndItsResultIsCorrect(@ForAll("updates") List<Update> updates) {
    check(updates);
  }

  @Test
  void longRun() {
    int histories = Integer.getInteger("limpet.histories", 2_000);
    Random random = new Random(Long.getLong("limpet.seed", 1));
    for (int history = 0; history < histories; history++) {
      List<Update> updates = new ArrayList<>();
      for (int count = random.nextInt(12); count >= 0; count--) {
        List<Fault> faults = new ArrayList<>();
        for (int fault = random.nextInt(14); fault > 0; fault--) {
          faults.add(Fault.values()[random.nextInt(Fault.values().length)]);
        }
        updates.add(new Update(faults, random.nextBoolean()));
      }
      check(updates);
    }
  }

  @Provide
  Arbitrary<List<Update>> updates() {
    Arbitrary<List<Fault>> faults = Arbitraries.of(Fault.values()).list().ofMaxSize(12);
    return Combinators.combine(faults, Arbitraries.of(true, false))
        .as(Update::new)
        .list()
        .ofMaxSize(8);
  }

  private static void check(List<Update> updates) {
    MemoryObjectStore memory = new MemoryObjectStore();
    ManualClock clock = new ManualClock(0);
    ConditionalWriter concurrentWriter = writer(memory, "concurrent", clock);
    ScriptedObjectStore store =
        new ScriptedObjectStore(
            memory,
            () ->
                concurrentWriter.update(
                    KEY, current -> appended(current, "concurrent"), TIMEOUT_MS));
    ConditionalWriter writer = writer(store, "own", clock);
    Map<String, UpdateResult> results = new LinkedHashMap<>();
    for (int index = 0; index < updates.size(); index++) {
      String name = "own-" + index;
      store.script(updates.get(index).faults());
      results.put(name, writer.update(KEY, current -> appended(current, name), TIMEOUT_MS));
      if (updates.get(index).deliversDelayedWrites()) {
        store.deliverDelayedWrites();
      }
    }
    store.deliverDelayedWrites();
    verify(results, names(memory));
  }

  private static void verify(Map<String, UpdateResult> results, List<String> names) {
    for (Map.Entry<String, UpdateResult> entry : results.entrySet()) {
      int times = Collections.frequency(names, entry.getKey());
      UpdateResult result = entry.getValue();
      assertWithMessage("%s: %s in %s", entry.getKey(), result, names).that(times).isAtMost(1);
      if (result instanceof UpdateResult.Written) {
        assertWithMessage("%s: %s", entry.getKey(), result).that(times).isEqualTo(1);
      }
      if (result instanceof UpdateResult.NotWritten) {
        assertWithMessage("%s: %s", entry.getKey(), result).that(times).isEqualTo(0);
      }
    }
  }

  @Test
  void concurrentWritersApplyEachUpdateAtMostOnce() throws Exception {
    MemoryObjectStore memory = new MemoryObjectStore();
    Map<String, UpdateResult> results = new ConcurrentHashMap<>();
    List<Fault> faults =
        List.of(Fault.NONE, Fault.DOWN, Fault.LOST_BEFORE_EFFECT, Fault.LOST_AFTER_EFFECT);
    List<Thread> threads = new ArrayList<>();
    for (int number = 0; number < THREADS; number++) {
      String id = "t" + number;
      Random random = new Random(number);
      threads.add(
          new Thread(
              () -> {
                ScriptedObjectStore store = new ScriptedObjectStore(memory, () -> {});
                ConditionalWriter writer =
                    new ConditionalWriter(
                        store, id, Clock.system(), Pause.sleeping(), 1, 2, random.nextLong());
                for (int count = 0; count < UPDATES_PER_THREAD; count++) {
                  String name = id + "-" + count;
                  store.script(random.ints(8, 0, 4).mapToObj(faults::get).toList());
                  results.put(name, writer.update(KEY, current -> appended(current, name), 30_000));
                }
              }));
    }
    threads.forEach(Thread::start);
    for (Thread thread : threads) {
      thread.join();
    }
    assertThat(results).hasSize(THREADS * UPDATES_PER_THREAD);
    verify(results, names(memory));
  }

  @Test
  void lostResponseIsResolvedByReadingBack() {
    for (Fault fault : List.of(Fault.LOST_AFTER_EFFECT, Fault.LOST_BEFORE_EFFECT)) {
      MemoryObjectStore memory = new MemoryObjectStore();
      ScriptedObjectStore store = new ScriptedObjectStore(memory, () -> {});
      store.script(List.of(Fault.NONE, fault));
      UpdateResult result =
          writer(store, "own", new ManualClock(0))
              .update(KEY, current -> appended(current, "once"), TIMEOUT_MS);
      assertThat(result).isInstanceOf(UpdateResult.Written.class);
      assertThat(names(memory)).containsExactly("once");
    }
  }

  private static ConditionalWriter writer(ObjectStore store, String id, ManualClock clock) {
    return new ConditionalWriter(store, id, clock, clock::advance, 10, 80, 5);
  }

  private static String appended(@Nullable StoredObject current, String name) {
    try {
      ObjectNode object =
          current == null
              ? MAPPER.createObjectNode()
              : (ObjectNode) MAPPER.readTree(current.value());
      object.withArray("names").add(name);
      return object.toString();
    } catch (IOException malformed) {
      throw new UncheckedIOException(malformed);
    }
  }

  private static List<String> names(ObjectStore store) {
    List<String> names = new ArrayList<>();
    if (store.get(KEY) instanceof ReadResult.Found found) {
      try {
        for (JsonNode name : MAPPER.readTree(found.object().value()).path("names")) {
          names.add(name.asText());
        }
      } catch (IOException malformed) {
        throw new UncheckedIOException(malformed);
      }
    }
    return names;
  }

  record Update(List<Fault> faults, boolean deliversDelayedWrites) {}
}
