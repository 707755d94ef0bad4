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
 * Tracks one kind of object in the store: lists it, then watches from the list's revision.
 *
 * <p>Limits the load that a fleet watching the same objects puts on the store: after a watch
 * returns changes, the next one starts only after a delay, so that changes in quick succession cost
 * one call; failed calls are retried with randomized backoff. Most daemons watch with stale reads,
 * at a tenth of the cost; the revisions that peers announce reveal when such a watch lags behind.
 */
final class KindWatcher<T> {

  /** Long-poll duration of a watch; keep-alive detects a dead connection earlier. */
  private static final long WATCH_WAIT_MS = 10_000;

  /** Time that a watch's response may take beyond the long-poll duration. */
  private static final long WATCH_SLACK_MS = 1_500;

  private static final long LIST_TIMEOUT_MS = 1_500;

  /** A watch that lags behind a peer for longer than this is taken to be broken. */
  private static final long MAX_LAG_MS = 350;

  /** Shortest wait of a watch: the changes so far are wanted, not the next one. */
  private static final long CATCH_UP_WAIT_MS = 1;

  private static final long MIN_BACKOFF_MS = 80;

  /** Ensures that a recovery is noticed well within {@link PlatformView#FAILURE_WINDOW_MS}. */
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
  private final LongSupplier rewatchDelayMs;
  private final Supplier<PlatformStore.Consistency> consistency;
  private final StoreOutage outage;

  /** Revision from which the next watch starts. */
  private long revision;

  /** Revision up to which all changes are applied; a stale watch may return older ones later. */
  private long listedRevision;

  private boolean isListed;
  private long backoffMs = MIN_BACKOFF_MS;
  private long lastSuccessMs;
  private long lastFailureMs = Long.MIN_VALUE / 2;
  private boolean isFailing;
  private boolean isPaused;
  private long newestRevision;
  private long peerRevision;

  /** Revision announced by a peer that this watcher is to reach, and when it was announced. */
  private long awaitedRevision;

  private long awaitedSinceMs;
  private long lastCatchUpMs;

  KindWatcher(
      ObjectKind<T> kind,
      PlatformStore store,
      EventLoop loop,
      Clock clock,
      DecisionLog log,
      Listener<T> listener,
      LongSupplier rewatchDelayMs,
      Supplier<PlatformStore.Consistency> consistency,
      StoreOutage outage) {
    this.kind = kind;
    this.store = store;
    this.loop = loop;
    this.clock = clock;
    this.log = log;
    this.listener = listener;
    this.rewatchDelayMs = rewatchDelayMs;
    this.consistency = consistency;
    this.outage = outage;
  }

  void start() {
    lastSuccessMs = clock.nowMs();
    list();
  }

  /** Whether the kind has been listed at least once. */
  boolean isListed() {
    return isListed;
  }

  /** Revision of the newest object known to this daemon or announced by a peer. */
  long newestRevision() {
    return Math.max(newestRevision, peerRevision);
  }

  /**
   * A peer announces an object of that revision; reads the changes up to it if this watcher keeps
   * lagging behind, since its watch may be broken or return old data.
   */
  void onPeerRevision(long announcedRevision) {
    long nowMs = clock.nowMs();
    peerRevision = Math.max(peerRevision, announcedRevision);
    long knownRevision = Math.max(listedRevision, Math.max(revision, newestRevision));
    if (knownRevision >= awaitedRevision) {
      // one revision is awaited at a time: the newest one is ahead all the time while many change
      awaitedRevision = peerRevision;
      awaitedSinceMs = nowMs;
    }
    long toleranceMs = MAX_LAG_MS + rewatchDelayMs.getAsLong();
    boolean isLagging = isListed && knownRevision < awaitedRevision;
    if (!isLagging || nowMs - awaitedSinceMs < toleranceMs || nowMs - lastCatchUpMs < toleranceMs) {
      return;
    }
    lastCatchUpMs = nowMs;
    log.write(
        LogEvent.WATCH_RESTARTED,
        "kind",
        kind.label(),
        "revision",
        newestRevision,
        "othersRevision",
        awaitedRevision);
    catchUp(awaitedRevision);
  }

  /** Reads the changes since the last watch; much less than a list of many objects. */
  private void catchUp(long targetRevision) {
    store.watch(
        kind,
        PlatformStore.Consistency.LINEARIZABLE,
        revision,
        CATCH_UP_WAIT_MS,
        LIST_TIMEOUT_MS,
        reply -> {
          if (reply instanceof StoreReply.HistoryGone) {
            relist();
            return;
          }
          StoredObjects<T> changes = reply.valueOrNull();
          if (changes == null) {
            onCallFailed(reply);
            return;
          }
          applyChanges(changes);
          if (newestRevision < targetRevision) {
            // a store that is dropping its history may leave changes out
            relist();
            return;
          }
          revision = Math.max(revision, changes.revision());
          listedRevision = Math.max(listedRevision, changes.revision());
        });
  }

  private void relist() {
    store.list(
        kind,
        PlatformStore.Consistency.LINEARIZABLE,
        LIST_TIMEOUT_MS,
        reply -> {
          StoredObjects<T> all = reply.valueOrNull();
          // the watch may have received newer changes while the list was in transit
          if (all == null) {
            onCallFailed(reply);
          } else if (all.revision() >= revision) {
            applyAll(all);
          }
        });
  }

  private void applyAll(StoredObjects<T> all) {
    listedRevision = Math.max(listedRevision, all.revision());
    updateNewestRevision(all);
    listener.onAll(all);
  }

  /** Applies changes except those that a newer list already covers. */
  private void applyChanges(StoredObjects<T> changes) {
    List<StoredObject<T>> newer = new ArrayList<>();
    for (StoredObject<T> object : changes.objects()) {
      if (object.isRemoved() || object.revision() > listedRevision) {
        newer.add(object);
      }
    }
    updateNewestRevision(changes);
    if (!newer.isEmpty()) {
      listener.onChanges(new StoredObjects<>(newer, changes.revision()));
    }
  }

  private void updateNewestRevision(StoredObjects<T> objects) {
    for (StoredObject<T> object : objects.objects()) {
      newestRevision = Math.max(newestRevision, object.revision());
    }
  }

  /** Time of the last failed call; far in the past if none failed. */
  long lastFailureMs() {
    return lastFailureMs;
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
    onCallSucceeded();
    revision = all.revision();
    isListed = true;
    applyAll(all);
    watch();
  }

  private void watch() {
    store.watch(
        kind,
        consistency.get(),
        revision,
        WATCH_WAIT_MS,
        WATCH_WAIT_MS + WATCH_SLACK_MS,
        this::onWatched);
  }

  private void onWatched(StoreReply<StoredObjects<T>> reply) {
    if (reply instanceof StoreReply.HistoryGone) {
      log.write(LogEvent.WATCH_RESTARTED, "kind", kind.label(), "revision", revision);
      list();
      return;
    }
    StoredObjects<T> changes = reply.valueOrNull();
    if (changes == null) {
      // a watch restarted while the store drops its history may miss changes for seconds: list
      // instead
      retry(reply, this::list);
      return;
    }
    onCallSucceeded();
    revision = Math.max(revision, changes.revision());
    if (changes.objects().isEmpty()) {
      watch();
      return;
    }
    applyChanges(changes);
    isPaused = true;
    schedule(this::endPause, rewatchDelayMs.getAsLong());
  }

  /** Starts the next watch without waiting for the rewatch delay to end. */
  void watchNow() {
    endPause();
  }

  private void endPause() {
    if (isPaused) {
      isPaused = false;
      watch();
    }
  }

  private void onCallSucceeded() {
    long nowMs = clock.nowMs();
    if (isFailing) {
      log.write(LogEvent.PLATFORM_UP, "kind", kind.label(), "awayMs", nowMs - lastSuccessMs);
      isFailing = false;
    }
    lastSuccessMs = nowMs;
    backoffMs = MIN_BACKOFF_MS;
    outage.onSuccess();
  }

  /** Whether the last call failed. */
  boolean isFailing() {
    return isFailing;
  }

  private void onCallFailed(StoreReply<?> reply) {
    lastFailureMs = clock.nowMs();
    if (!isFailing) {
      isFailing = true;
      log.write(
          LogEvent.PLATFORM_DOWN,
          "kind",
          kind.label(),
          "reason",
          reply.describe(),
          "revision",
          revision,
          "ageMs",
          lastFailureMs - lastSuccessMs);
    }
  }

  private void retry(StoreReply<?> reply, Runnable call) {
    onCallFailed(reply);
    if (!outage.isProber(this)) {
      outage.awaitEnd(call);
      return;
    }
    long delayMs = backoffMs / 2 + ThreadLocalRandom.current().nextLong(backoffMs / 2 + 1);
    backoffMs = Math.min(MAX_BACKOFF_MS, backoffMs * 2);
    schedule(call, delayMs);
  }

  private void schedule(Runnable task, long delayMs) {
    @Nullable Object unused = loop.schedule(task, delayMs, TimeUnit.MILLISECONDS);
  }
}
