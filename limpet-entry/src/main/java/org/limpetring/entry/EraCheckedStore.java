package org.limpetring.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.limpetring.base.LogEvent;
import org.limpetring.entry.port.ObjectKind;
import org.limpetring.entry.port.PlatformStore;
import org.limpetring.entry.port.StoreReply;
import org.limpetring.entry.port.StoredObject;
import org.limpetring.entry.port.StoredObjects;

/**
 * Store client that notices when the store has come back from an older copy.
 *
 * <p>A reply with a higher era than any before is announced to the listeners before it is passed
 * on. A reply of an older era, which was late, is passed on as a call without an answer, whatever
 * it carries: what it shows, or has written, may be lost.
 */
public final class EraCheckedStore implements PlatformStore {

  private final PlatformStore store;
  private final DecisionLog log;
  private final EntryMetrics metrics;
  private final List<LongConsumer> listeners = new ArrayList<>();
  private long era = StoreReply.NO_ERA;

  /** Creates a client that calls {@code store}. */
  public EraCheckedStore(PlatformStore store, DecisionLog log, EntryMetrics metrics) {
    this.store = store;
    this.log = log;
    this.metrics = metrics;
  }

  /** Adds a listener that gets each era of the store after the first known one. */
  public void onNewEra(LongConsumer listener) {
    listeners.add(listener);
  }

  private <R> Consumer<StoreReply<R>> checked(Consumer<StoreReply<R>> done) {
    return reply -> done.accept(checked(reply));
  }

  private <R> StoreReply<R> checked(StoreReply<R> reply) {
    if (reply.era() == StoreReply.NO_ERA) {
      return reply;
    }
    if (reply.era() < era) {
      metrics.outdatedStoreReply();
      log.write(
          LogEvent.STORE_REPLY_OUTDATED,
          "era",
          reply.era(),
          "known",
          era,
          "reply",
          reply.describe());
      return new StoreReply.Unknown<>("reply of era " + reply.era());
    }
    if (reply.era() > era) {
      long previous = era;
      era = reply.era();
      metrics.storeEra(era);
      if (previous != StoreReply.NO_ERA) {
        log.write(LogEvent.STORE_RESTORED, "era", era, "previous", previous);
        listeners.forEach(listener -> listener.accept(era));
      }
    }
    return reply;
  }

  @Override
  public <T> void list(
      ObjectKind<T> kind,
      Consistency consistency,
      long timeoutMs,
      Consumer<StoreReply<StoredObjects<T>>> done) {
    store.list(kind, consistency, timeoutMs, checked(done));
  }

  @Override
  public <T> void watch(
      ObjectKind<T> kind,
      Consistency consistency,
      long afterRevision,
      long waitMs,
      long timeoutMs,
      Consumer<StoreReply<StoredObjects<T>>> done) {
    store.watch(kind, consistency, afterRevision, waitMs, timeoutMs, checked(done));
  }

  @Override
  public <T> void get(
      ObjectKind<T> kind, String name, long timeoutMs, Consumer<StoreReply<StoredObject<T>>> done) {
    store.get(kind, name, timeoutMs, checked(done));
  }

  @Override
  public <T> void create(
      ObjectKind<T> kind, String name, T value, long timeoutMs, Consumer<StoreReply<Long>> done) {
    store.create(kind, name, value, timeoutMs, checked(done));
  }

  @Override
  public <T> void replace(
      ObjectKind<T> kind,
      String name,
      T value,
      long revision,
      long timeoutMs,
      Consumer<StoreReply<Long>> done) {
    store.replace(kind, name, value, revision, timeoutMs, checked(done));
  }
}
