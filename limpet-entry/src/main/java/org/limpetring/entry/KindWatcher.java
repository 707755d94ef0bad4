package org.limpetring.entry;

import static org.limpetring.entry.port.PlatformStore.Consistency.LINEARIZABLE;
import static org.limpetring.entry.port.PlatformStore.Consistency.STALE;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.limpetring.base.Clock;
import org.limpetring.base.LogEvent;
import org.limpetring.entry.port.ObjectKind;
import org.limpetring.entry.port.PlatformStore;
import org.limpetring.entry.port.StorePosition;
import org.limpetring.entry.port.StoreReply;
import org.limpetring.entry.port.StoredObject;
import org.limpetring.entry.port.StoredObjects;

/**
 * Tracks one kind of object in the store: lists it, then watches from the list's revision.
 *
 * <p>Limits the load that a fleet watching the same objects puts on the store: after a watch
 * returns changes, the next one starts only after a delay, so that changes in quick succession cost
 * one call; failed calls are retried with randomized backoff. Most daemons watch with stale reads,
 * at a tenth of the cost; {@link ViewAge} decides when the changes have to be read linearizably.
 *
 * <p>When the store has come back from an older copy, the kind is listed again: a watch from an
 * earlier revision may be answered although that revision is another one now.
 */
final class KindWatcher<T> {

  /** Long-poll duration of a watch; keep-alive detects a dead connection earlier. */
  private static final long WATCH_WAIT_MS = 10_000;

  /** Time that a watch's response may take beyond the long-poll duration. */
  private static final long WATCH_SLACK_MS = 1_500;

  private static final long LIST_TIMEOUT_MS = 1_500;

  /** Several times the time of a read; leaves time for a second one. */
  private static final long CATCH_UP_TIMEOUT_MS = 400;

  /** A linearizable watch that waits for this long has reached the store. */
  private static final long SETTLING_MS = 150;

  /** Spreads the reads of all daemons when announcements end. */
  private static final long CATCH_UP_SPREAD_MS = 200;

  /** Shortest wait of a watch: the changes so far are wanted, not the next one. */
  private static final long CATCH_UP_WAIT_MS = 1;

  private static final long MIN_BACKOFF_MS = 80;

  /** Ensures that a recovery is noticed well within {@link PlatformView#FAILURE_WINDOW_MS}. */
  private static final long MAX_BACKOFF_MS = 700;

  private static final long MAX_CATCH_UP_BACKOFF_MS = 1_500;

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

  /** Position from which the next watch starts. */
  private StorePosition position = StorePosition.ZERO;

  /** Position up to which all changes are applied; a stale watch may return older ones later. */
  private StorePosition listedPosition = StorePosition.ZERO;

  private boolean isListed;
  private long backoffMs = MIN_BACKOFF_MS;
  private long lastSuccessMs;
  private long lastFailureMs = Long.MIN_VALUE / 2;
  private boolean isFailing;
  private boolean isPaused;
  private StorePosition newestPosition = StorePosition.ZERO;
  private StorePosition peerPosition = StorePosition.ZERO;
  private Set<String> names = new HashSet<>();
  private final ViewAge age;

  /** Only the reply to the latest watch starts the next one. */
  private long watchNumber;

  /** Number of eras that began; replies to calls from before the latest are ignored. */
  private long eraCount;

  private boolean isWatchPending;
  private boolean isWatchStale;
  private long watchStartedMs;
  private boolean isCatchingUp;
  private long catchUpBackoffMs;
  private long nextCatchUpMs;
  private Runnable onNextCatchUp = () -> {};

  KindWatcher(
      ObjectKind<T> kind,
      PlatformStore store,
      EventLoop loop,
      Clock clock,
      DecisionLog log,
      Listener<T> listener,
      LongSupplier rewatchDelayMs,
      Supplier<PlatformStore.Consistency> consistency,
      long maxUnannouncedMs,
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
    long spreadMs = ThreadLocalRandom.current().nextLong(CATCH_UP_SPREAD_MS + 1);
    this.age = new ViewAge(maxUnannouncedMs + spreadMs, clock.nowMs());
  }

  void start() {
    lastSuccessMs = clock.nowMs();
    list();
  }

  /** Whether the kind has been listed at least once. */
  boolean isListed() {
    return isListed;
  }

  /** Position of the newest object known to this daemon or announced by a peer. */
  StorePosition newestPosition() {
    return StorePosition.max(newestPosition, peerPosition);
  }

  /** The store has come back from an older copy: drops the calls in progress and lists again. */
  void onNewEra() {
    eraCount++;
    watchNumber++;
    isWatchPending = false;
    isCatchingUp = false;
    isPaused = false;
    list();
  }

  /** Wraps the handler of a reply that counts only while the store's era is the same. */
  private <R> Consumer<StoreReply<R>> inThisEra(Consumer<StoreReply<R>> handler) {
    long startedIn = eraCount;
    return reply -> {
      if (startedIn == eraCount) {
        handler.accept(reply);
      }
    };
  }

  /**
   * A peer announces the position of the newest object that it knows.
   *
   * @param isNewest whether the peer reads the newest data
   */
  void onPeerPosition(StorePosition announced, boolean isNewest) {
    if (announced.era() < listedPosition.era()) {
      // a peer that has not noticed yet that the store came back from a copy
      return;
    }
    peerPosition = StorePosition.max(peerPosition, announced);
    age.onAnnounced(announced, isNewest, clock.nowMs());
    refreshIfOutdated();
  }

  /** Time for which changes of the store may be missing here. */
  long ageMs() {
    long nowMs = clock.nowMs();
    updateAge(nowMs);
    return age.ageMs(nowMs);
  }

  /** Reads the changes linearizably if this view lags, or can't be shown to be recent. */
  void refreshIfOutdated() {
    long nowMs = clock.nowMs();
    updateAge(nowMs);
    boolean isDue = age.isLagging(nowMs) || age.isOutdated(nowMs);
    // a watch that failed is followed by a linearizable list
    boolean isWatching = isWatchPending || isPaused;
    if (!isDue || !isWatching || isCatchingUp || isSettling(nowMs) || nowMs < nextCatchUpMs) {
      return;
    }
    if (catchUpBackoffMs > 0 && !outage.isProber(this)) {
      return;
    }
    log.write(
        LogEvent.WATCH_RESTARTED,
        "kind",
        kind.label(),
        "revision",
        newestPosition.revision(),
        "othersRevision",
        age.awaitedPosition().revision(),
        "ageMs",
        age.ageMs(nowMs));
    if (isWatchPending && isWatchStale && consistency.get() == LINEARIZABLE) {
      watch();
    } else {
      catchUp(age.awaitedPosition());
    }
  }

  /**
   * Reads the changes linearizably now, unless they are on their way; returns whether it does.
   *
   * @param done runs when the read has succeeded
   */
  boolean refreshNow(Runnable done) {
    boolean isWatching = isWatchPending || isPaused;
    boolean isOnItsWay = isWatchPending && !isWatchStale;
    if (!isWatching || isOnItsWay || isCatchingUp) {
      return false;
    }
    onNextCatchUp = done;
    catchUp(age.awaitedPosition());
    return true;
  }

  /** Ends a stale watch if this daemon has to read the newest data from now on. */
  void renewStaleWatch() {
    if (isWatchPending && isWatchStale) {
      watch();
    }
  }

  private void updateAge(long nowMs) {
    age.onReached(StorePosition.max(listedPosition, StorePosition.max(position, newestPosition)));
    if (isWatchPending && !isWatchStale && !isSettling(nowMs)) {
      age.onNewest(nowMs);
    }
  }

  /** Whether a linearizable watch may not have reached the store yet. */
  private boolean isSettling(long nowMs) {
    return isWatchPending && !isWatchStale && nowMs - watchStartedMs < SETTLING_MS;
  }

  /** Reads the changes since the last watch; much less than a list of many objects. */
  private void catchUp(StorePosition target) {
    isCatchingUp = true;
    long sentMs = clock.nowMs();
    store.watch(
        kind,
        LINEARIZABLE,
        position.revision(),
        CATCH_UP_WAIT_MS,
        catchUpBackoffMs == 0 ? CATCH_UP_TIMEOUT_MS : LIST_TIMEOUT_MS,
        inThisEra(
            reply -> {
              isCatchingUp = false;
              if (reply instanceof StoreReply.HistoryGone) {
                relist(target);
                return;
              }
              StoredObjects<T> changes = reply.valueOrNull();
              if (changes == null) {
                onCatchUpFailed(reply);
                return;
              }
              applyChanges(changes);
              if (newestPosition.isBefore(target)) {
                // a store that is dropping its history may leave changes out
                relist(target);
                return;
              }
              if (target.isAfter(StorePosition.ZERO)) {
                position = StorePosition.max(position, changes.position());
                listedPosition = StorePosition.max(listedPosition, changes.position());
              }
              onCaughtUp(sentMs);
            }));
  }

  private void onCaughtUp(long asOfMs) {
    catchUpBackoffMs = 0;
    nextCatchUpMs = asOfMs + ViewAge.MAX_AGE_MS;
    age.onNewest(asOfMs);
    onCallSucceeded();
    runAwaitingRefresh();
  }

  private void runAwaitingRefresh() {
    Runnable done = onNextCatchUp;
    onNextCatchUp = () -> {};
    done.run();
  }

  private void onCatchUpFailed(StoreReply<?> reply) {
    onCallFailed(reply);
    catchUpBackoffMs =
        Math.min(MAX_CATCH_UP_BACKOFF_MS, Math.max(MIN_BACKOFF_MS, 2 * catchUpBackoffMs));
    nextCatchUpMs = clock.nowMs() + catchUpBackoffMs;
  }

  private void relist(StorePosition target) {
    isCatchingUp = true;
    long sentMs = clock.nowMs();
    store.list(
        kind,
        LINEARIZABLE,
        LIST_TIMEOUT_MS,
        inThisEra(
            reply -> {
              isCatchingUp = false;
              StoredObjects<T> all = reply.valueOrNull();
              if (all == null) {
                onCatchUpFailed(reply);
              } else if (!all.position().isBefore(position)) {
                applyAll(all);
                onCaughtUp(sentMs);
              } else if (newestPosition.isBefore(target)) {
                // the watch has passed the list, but without the change that is awaited
                relist(target);
              }
            }));
  }

  private void applyAll(StoredObjects<T> all) {
    boolean isNewEra = newestPosition.era() < all.position().era();
    if (isNewEra) {
      newestPosition = new StorePosition(all.position().era(), 0);
    }
    listedPosition = StorePosition.max(listedPosition, all.position());
    updateNewestPosition(all);
    Set<String> listed = new HashSet<>();
    all.objects().forEach(object -> listed.add(object.name()));
    if (!isNewEra && !listed.containsAll(names)) {
      // the list shows a removal without its revision
      newestPosition = StorePosition.max(newestPosition, all.position());
    }
    names = listed;
    listener.onAll(all);
  }

  /** Applies changes except those that a newer list already covers. */
  private void applyChanges(StoredObjects<T> changes) {
    List<StoredObject<T>> newer = new ArrayList<>();
    for (StoredObject<T> object : changes.objects()) {
      if (object.isRemoved() || object.position().isAfter(listedPosition)) {
        newer.add(object);
        boolean unused =
            object.isRemoved() ? names.remove(object.name()) : names.add(object.name());
      }
    }
    updateNewestPosition(changes);
    if (!newer.isEmpty()) {
      listener.onChanges(new StoredObjects<>(newer, changes.position()));
    }
  }

  private void updateNewestPosition(StoredObjects<T> objects) {
    for (StoredObject<T> object : objects.objects()) {
      newestPosition = StorePosition.max(newestPosition, object.position());
    }
  }

  /** Time of the last failed call; far in the past if none failed. */
  long lastFailureMs() {
    return lastFailureMs;
  }

  private void list() {
    store.list(kind, LINEARIZABLE, LIST_TIMEOUT_MS, inThisEra(this::onListed));
  }

  private void onListed(StoreReply<StoredObjects<T>> reply) {
    StoredObjects<T> all = reply.valueOrNull();
    if (all == null) {
      retry(reply, this::list);
      return;
    }
    onCallSucceeded();
    age.onNewest(clock.nowMs());
    position = all.position();
    isListed = true;
    applyAll(all);
    runAwaitingRefresh();
    watch();
  }

  private void watch() {
    long number = ++watchNumber;
    PlatformStore.Consistency used = consistency.get();
    isWatchPending = true;
    isWatchStale = used == STALE;
    watchStartedMs = clock.nowMs();
    store.watch(
        kind,
        used,
        position.revision(),
        WATCH_WAIT_MS,
        WATCH_WAIT_MS + WATCH_SLACK_MS,
        reply -> onWatched(reply, number));
  }

  private void onWatched(StoreReply<StoredObjects<T>> reply, long number) {
    if (number != watchNumber) {
      return;
    }
    isWatchPending = false;
    if (reply instanceof StoreReply.HistoryGone) {
      log.write(LogEvent.WATCH_RESTARTED, "kind", kind.label(), "revision", position.revision());
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
    if (!isWatchStale) {
      age.onNewest(clock.nowMs());
    }
    position = StorePosition.max(position, changes.position());
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
          position.revision(),
          "ageMs",
          lastFailureMs - lastSuccessMs);
    }
  }

  private void retry(StoreReply<?> reply, Runnable call) {
    onCallFailed(reply);
    if (!outage.isProber(this)) {
      outage.awaitEnd(inThisEra(call));
      return;
    }
    long delayMs = backoffMs / 2 + ThreadLocalRandom.current().nextLong(backoffMs / 2 + 1);
    backoffMs = Math.min(MAX_BACKOFF_MS, backoffMs * 2);
    schedule(inThisEra(call), delayMs);
  }

  private Runnable inThisEra(Runnable task) {
    long startedIn = eraCount;
    return () -> {
      if (startedIn == eraCount) {
        task.run();
      }
    };
  }

  private void schedule(Runnable task, long delayMs) {
    @Nullable Object unused = loop.schedule(task, delayMs, TimeUnit.MILLISECONDS);
  }
}
