package org.limpetring.entry;

import io.netty.channel.EventLoop;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.limpetring.entry.model.DaemonEntry;
import org.limpetring.entry.model.EntrySettings;
import org.limpetring.entry.peer.PeerRegistry;
import org.limpetring.entry.port.ObjectKind;
import org.limpetring.entry.port.PlatformStore;
import org.limpetring.entry.port.StoreReply;
import org.limpetring.entry.port.StoredObject;
import org.limpetring.entry.port.StoredObjects;

/** Registry of daemons in the store, by which the daemons discover each other. */
final class DaemonDirectory {

  private static final long CALL_TIMEOUT_MS = 1_000;
  private static final long CALL_RETRY_DELAY_MS = 500;

  /** Spreads the calls of all daemons; within it the daemons still know each other. */
  private static final long REREGISTRATION_SPREAD_MS = 1_000;

  private final EntrySettings settings;
  private final PlatformStore store;
  private final EventLoop loop;
  private final PeerRegistry peers;

  DaemonDirectory(EntrySettings settings, PlatformStore store, EventLoop loop, PeerRegistry peers) {
    this.settings = settings;
    this.store = store;
    this.loop = loop;
    this.peers = peers;
  }

  private DaemonEntry ownEntry() {
    return new DaemonEntry(settings.daemonName(), settings.failureDomain(), settings.peerAddress());
  }

  /** Creates this daemon's entry, and retries until it exists. */
  void register() {
    store.create(
        ObjectKind.DAEMONS,
        settings.daemonName(),
        ownEntry(),
        CALL_TIMEOUT_MS,
        reply -> {
          if (reply instanceof StoreReply.Refused || reply instanceof StoreReply.Unknown) {
            retry(this::register);
          } else if (reply instanceof StoreReply.Conflict) {
            updateIfChanged();
          }
        });
  }

  /** Handles an entry left by an earlier incarnation: replaced only if its content differs. */
  private void updateIfChanged() {
    store.get(
        ObjectKind.DAEMONS,
        settings.daemonName(),
        CALL_TIMEOUT_MS,
        reply -> {
          StoredObject<DaemonEntry> stored = reply.valueOrNull();
          if (stored == null) {
            retry(this::register);
          } else if (!ownEntry().equals(stored.value())) {
            store.replace(
                ObjectKind.DAEMONS,
                settings.daemonName(),
                ownEntry(),
                stored.revision(),
                CALL_TIMEOUT_MS,
                replaced -> {
                  if (replaced.valueOrNull() == null) {
                    retry(this::register);
                  }
                });
          }
        });
  }

  /**
   * The store has come back from an older copy, which may lack this daemon's entry or those of
   * others. The daemons of a large fleet notice at the same time, so the calls are spread.
   */
  void onNewEra() {
    long delayMs = ThreadLocalRandom.current().nextLong(REREGISTRATION_SPREAD_MS);
    var unused =
        loop.schedule(
            () -> {
              register();
              list();
            },
            delayMs,
            TimeUnit.MILLISECONDS);
  }

  /** Reads all entries and adds them to the known peers. */
  void list() {
    store.list(
        ObjectKind.DAEMONS,
        PlatformStore.Consistency.LINEARIZABLE,
        CALL_TIMEOUT_MS,
        reply -> {
          StoredObjects<DaemonEntry> all = reply.valueOrNull();
          if (all == null) {
            retry(this::list);
            return;
          }
          for (StoredObject<DaemonEntry> object : all.objects()) {
            DaemonEntry entry = object.value();
            if (entry != null) {
              peers.onListed(entry.name(), entry.peerAddress());
            }
          }
        });
  }

  private void retry(Runnable call) {
    var unused = loop.schedule(call, CALL_RETRY_DELAY_MS, TimeUnit.MILLISECONDS);
  }
}
