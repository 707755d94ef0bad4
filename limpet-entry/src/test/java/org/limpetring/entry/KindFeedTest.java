package org.limpetring.entry;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.limpetring.base.ManualClock;
import org.limpetring.entry.port.ObjectKind;
import org.limpetring.entry.port.PlatformStore;
import org.limpetring.entry.port.StoreReply;
import org.limpetring.entry.port.StoredObject;
import org.limpetring.entry.port.StoredObjects;

final class KindFeedTest {

  private static final long REARM_MS = 250;

  private final ScriptedStore store = new ScriptedStore();
  private final ManualClock clock = new ManualClock(10_000);
  private final EmbeddedChannel channel = new EmbeddedChannel();
  private final List<String> heard = new ArrayList<>();
  private final KindFeed<String> feed =
      new KindFeed<>(
          ObjectKind.DOMAINS_OUT,
          store,
          channel.eventLoop(),
          clock,
          new DecisionLog(new ByteArrayOutputStream(), clock),
          new KindFeed.Listener<>() {
            @Override
            public void onAll(StoredObjects<String> all) {
              heard.add("all " + all.objects().size() + " at " + all.revision());
            }

            @Override
            public void onChanges(StoredObjects<String> changes) {
              heard.add("changes " + changes.objects().size());
            }
          },
          () -> REARM_MS,
          () -> PlatformStore.Consistency.LINEARIZABLE);

  private static StoreReply<StoredObjects<String>> objects(long revision, String... names) {
    List<StoredObject<String>> objects = new ArrayList<>();
    for (String name : names) {
      objects.add(new StoredObject<>(name, revision, name, false));
    }
    return new StoreReply.Ok<>(new StoredObjects<>(objects, revision));
  }

  private void pass(long ms) {
    clock.advance(ms);
    channel.advanceTimeBy(ms, TimeUnit.MILLISECONDS);
    channel.runScheduledPendingTasks();
  }

  @Test
  void changesInQuickSuccessionCostOneWatch() {
    feed.start();
    store.next().answer(objects(5));
    store.next().answer(objects(6, "a"));
    assertThat(store.calls).isEmpty();
    pass(REARM_MS);
    ScriptedStore.Call watch = store.next();
    assertThat(watch.what()).isEqualTo("watch");
    assertThat(watch.revision()).isEqualTo(6);
    assertThat(heard).containsExactly("all 0 at 5", "changes 1").inOrder();
  }

  /** A watch armed again while the store drops its history heard nothing for seconds. */
  @Test
  void aBrokenWatchIsFollowedByAList() {
    feed.start();
    store.next().answer(objects(5));
    store.next().answer(new StoreReply.Unknown<>("BROKEN"));
    pass(1_000);
    assertThat(store.next().what()).isEqualTo("list");
  }

  @Test
  void aHurriedFeedWatchesAtOnceAndOnlyOnce() {
    feed.start();
    store.next().answer(objects(5));
    store.next().answer(objects(6, "a"));
    feed.hurry();
    assertThat(store.next().what()).isEqualTo("watch");
    pass(REARM_MS);
    feed.hurry();
    assertThat(store.calls).isEmpty();
  }

  @Test
  void lostHistoryIsFollowedByAList() {
    feed.start();
    store.next().answer(objects(5));
    store.next().answer(new StoreReply.HistoryGone<>());
    assertThat(store.next().what()).isEqualTo("list");
  }

  @Test
  void aRefusedListIsRepeatedWithAPause() {
    feed.start();
    store.next().answer(new StoreReply.Refused<>("status 429"));
    assertThat(store.calls).isEmpty();
    assertThat(feed.isListed()).isFalse();
    pass(1_000);
    assertThat(store.next().what()).isEqualTo("list");
  }

  @Test
  void aFeedThatStaysBehindAnothersLists() {
    feed.start();
    store.next().answer(objects(5));
    store.next();
    feed.onHint(9);
    assertThat(store.calls).isEmpty();
    pass(600 + REARM_MS);
    feed.onHint(9);
    store.next().answer(objects(9, "a"));
    assertThat(heard).contains("all 1 at 9");
    pass(600 + REARM_MS);
    feed.onHint(9);
    assertThat(store.calls).isEmpty();
  }

  /** The watch of a stale read hears of an upstream that a newer list no longer holds. */
  @Test
  void changesOlderThanAListAreNotTakenOver() {
    feed.start();
    store.next().answer(objects(5));
    ScriptedStore.Call watch = store.next();
    feed.onHint(9);
    pass(600 + REARM_MS);
    feed.onHint(9);
    store.next().answer(objects(9));
    watch.answer(objects(7, "gone"));
    assertThat(heard).containsExactly("all 0 at 5", "all 0 at 9").inOrder();
  }

  /** A list that was read before the newest change arrives after the watch told of it. */
  @Test
  void aListOlderThanTheWatchIsNotTakenOver() {
    feed.start();
    store.next().answer(objects(5));
    ScriptedStore.Call watch = store.next();
    feed.onHint(9);
    pass(600 + REARM_MS);
    feed.onHint(9);
    ScriptedStore.Call list = store.next();
    watch.answer(objects(9, "a"));
    list.answer(objects(8));
    assertThat(heard).containsExactly("all 0 at 5", "changes 1").inOrder();
  }

  @Test
  void aRevisionHeardFromOneDaemonIsToldToOthers() {
    feed.start();
    store.next().answer(objects(5));
    feed.onHint(9);
    assertThat(feed.newestRevision()).isEqualTo(9);
  }
}
