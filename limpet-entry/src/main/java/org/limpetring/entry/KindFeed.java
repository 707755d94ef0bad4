package org.limpetring.entry;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.limpetring.base.Clock;
import org.limpetring.base.LogEvent;
import org.limpetring.entry.port.ObjectKind;
import org.limpetring.entry.port.PlatformStore;
import org.limpetring.entry.port.StoreReply;
import org.limpetring.entry.port.StoredObject;
import org.limpetring.entry.port.StoredObjects;

/**
 * Follows one kind of object: lists it, then watches from the list's revision.
 *
 * <p>Answers the load pattern of a fleet that follows the same objects: a watch that returned is
 * armed again only after a pause, so that changes in quick succession cost one call; failed calls
 * are repeated after a randomized backoff. Most daemons watch with reads that may be stale, at a
 * tenth of the cost; what the others tell of newer revisions shows when such a watch falls behind.
 */
final class KindFeed<T> {

  /** Longest wait of a watch; a connection that went silent is found by keep-alive before. */
  private static final long WAIT_MS = 10_000;

  /** Time that a watch's answer may take beyond the wait. */
  private static final long WATCH_SLACK_MS = 1_500;

  private static final long LIST_TIMEOUT_MS = 1_500;

  /** A feed this long behind another daemon's is taken to hear nothing. */
  private static final long BEHIND_MS = 350;

  private static final long MIN_BACKOFF_MS = 80;

  /** A store that is back has to be seen well within the time in which machines count as calm. */
  private static final long MAX_BACKOFF_MS = 700;

  /** Receives the objects of a kind. */
  interface Listener<T> {

    /** All objects as of a revision. */
    void onAll(StoredObjects<T> all);

    /** Changes up to a revision. */
    void onChanges(StoredObjects<T> changes);
  }

  private final ObjectKind<T> kind;
  private final PlatformStore store;
  private final EventLoop loop;
  private final Clock clock;
  private final DecisionLog log;
  private final Listener<T> listener;
  private final LongSupplier rearmMs;
  private final Supplier<PlatformStore.Consistency> consistency;

  /** Changes up to here have been heard by watches. */
  private long revision;

  /** Newest list that was taken over. */
  private long listedRevision;

  private boolean isListed;
  private long backoffMs = MIN_BACKOFF_MS;
  private long confirmedMs;
  private long troubledMs = Long.MIN_VALUE / 2;
  private boolean isLost;
  private boolean isPausing;
  private long newestRevision;
  private long othersRevision;
  private long behindSinceMs = Long.MAX_VALUE;
  private long hintedMs;

  KindFeed(
      ObjectKind<T> kind,
      PlatformStore store,
      EventLoop loop,
      Clock clock,
      DecisionLog log,
      Listener<T> listener,
      LongSupplier rearmMs,
      Supplier<PlatformStore.Consistency> consistency) {
    this.kind = kind;
    this.store = store;
    this.loop = loop;
    this.clock = clock;
    this.log = log;
    this.listener = listener;
    this.rearmMs = rearmMs;
    this.consistency = consistency;
  }

  void start() {
    confirmedMs = clock.nowMs();
    list();
  }

  /** Whether the kind has been listed once. */
  boolean isListed() {
    return isListed;
  }

  /** Revision of the newest object that this daemon or one it heard knows. */
  long newestRevision() {
    return Math.max(newestRevision, othersRevision);
  }

  /**
   * Another daemon knows an object of that revision; lists the kind if this feed stays behind,
   * since its watch may hear nothing.
   */
  void onHint(long hintedRevision) {
    long nowMs = clock.nowMs();
    othersRevision = Math.max(othersRevision, hintedRevision);
    long knownRevision = Math.max(listedRevision, Math.max(revision, newestRevision));
    if (!isListed || hintedRevision <= knownRevision) {
      behindSinceMs = Long.MAX_VALUE;
      return;
    }
    behindSinceMs = Math.min(behindSinceMs, nowMs);
    long patienceMs = BEHIND_MS + rearmMs.getAsLong();
    if (nowMs - behindSinceMs < patienceMs || nowMs - hintedMs < patienceMs) {
      return;
    }
    hintedMs = nowMs;
    log.write(
        LogEvent.WATCH_RESTARTED,
        "kind",
        kind.label(),
        "revision",
        newestRevision,
        "othersRevision",
        hintedRevision);
    store.list(
        kind,
        PlatformStore.Consistency.LINEARIZABLE,
        LIST_TIMEOUT_MS,
        reply -> {
          StoredObjects<T> all = reply.valueOrNull();
          // a watch may have heard more while the list was on its way
          if (all == null) {
            lost(reply);
          } else if (all.revision() > revision) {
            takeAll(all);
          }
        });
  }

  private void takeAll(StoredObjects<T> all) {
    listedRevision = Math.max(listedRevision, all.revision());
    countIn(all);
    listener.onAll(all);
  }

  /** Takes changes over, but for those that a newer list holds already. */
  private void takeChanges(StoredObjects<T> changes) {
    List<StoredObject<T>> news = new ArrayList<>();
    for (StoredObject<T> object : changes.objects()) {
      if (object.isRemoved() || object.revision() > listedRevision) {
        news.add(object);
      }
    }
    countIn(changes);
    if (!news.isEmpty()) {
      listener.onChanges(new StoredObjects<>(news, changes.revision()));
    }
  }

  private void countIn(StoredObjects<T> objects) {
    for (StoredObject<T> object : objects.objects()) {
      newestRevision = Math.max(newestRevision, object.revision());
    }
  }

  /** Last time at which a call failed; the distant past if none did. */
  long troubledMs() {
    return troubledMs;
  }

  private void list() {
    store.list(kind, PlatformStore.Consistency.LINEARIZABLE, LIST_TIMEOUT_MS, this::onListed);
  }

  private void onListed(StoreReply<StoredObjects<T>> reply) {
    StoredObjects<T> all = reply.valueOrNull();
    if (all == null) {
      retry(reply, this::list);
      return;
    }
    confirmed();
    revision = all.revision();
    isListed = true;
    takeAll(all);
    watch();
  }

  private void watch() {
    store.watch(
        kind, consistency.get(), revision, WAIT_MS, WAIT_MS + WATCH_SLACK_MS, this::onWatched);
  }

  private void onWatched(StoreReply<StoredObjects<T>> reply) {
    if (reply instanceof StoreReply.HistoryGone) {
      log.write(LogEvent.WATCH_RESTARTED, "kind", kind.label(), "revision", revision);
      list();
      return;
    }
    StoredObjects<T> changes = reply.valueOrNull();
    if (changes == null) {
      // a watch that is armed again while the store drops its history may hear nothing for long
      retry(reply, this::list);
      return;
    }
    confirmed();
    revision = Math.max(revision, changes.revision());
    if (changes.objects().isEmpty()) {
      watch();
      return;
    }
    takeChanges(changes);
    isPausing = true;
    schedule(this::endPause, rearmMs.getAsLong());
  }

  /** Ends the pause before the next watch, since something of interest has changed. */
  void hurry() {
    endPause();
  }

  private void endPause() {
    if (isPausing) {
      isPausing = false;
      watch();
    }
  }

  private void confirmed() {
    long nowMs = clock.nowMs();
    if (isLost) {
      log.write(LogEvent.PLATFORM_UP, "kind", kind.label(), "awayMs", nowMs - confirmedMs);
      isLost = false;
    }
    confirmedMs = nowMs;
    backoffMs = MIN_BACKOFF_MS;
  }

  /** Whether the last call failed. */
  boolean isLost() {
    return isLost;
  }

  private void lost(StoreReply<?> reply) {
    troubledMs = clock.nowMs();
    if (!isLost) {
      isLost = true;
      log.write(
          LogEvent.PLATFORM_DOWN,
          "kind",
          kind.label(),
          "reason",
          reply.describe(),
          "revision",
          revision,
          "ageMs",
          troubledMs - confirmedMs);
    }
  }

  private void retry(StoreReply<?> reply, Runnable call) {
    lost(reply);
    long delayMs = backoffMs / 2 + ThreadLocalRandom.current().nextLong(backoffMs / 2 + 1);
    backoffMs = Math.min(MAX_BACKOFF_MS, backoffMs * 2);
    schedule(call, delayMs);
  }

  private void schedule(Runnable task, long delayMs) {
    @Nullable Object unused = loop.schedule(task, delayMs, TimeUnit.MILLISECONDS);
  }
}
