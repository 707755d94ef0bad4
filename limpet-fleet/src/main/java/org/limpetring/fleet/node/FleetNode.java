package org.limpetring.fleet.node;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import java.util.function.LongFunction;
import org.jboss.logging.Logger;
import org.jspecify.annotations.Nullable;
import org.limpetring.base.Clock;
import org.limpetring.base.DaemonId;
import org.limpetring.base.LogEvent;
import org.limpetring.fleet.DaemonEntry;
import org.limpetring.fleet.config.ConfigFormat;
import org.limpetring.fleet.spread.TopicState;
import org.limpetring.peer.PeerAddress;
import org.limpetring.peer.PeerTransport;
import org.limpetring.peer.proto.Envelope;
import org.limpetring.store.ObjectStore;

/**
 * Drives the fleet machine of one daemon: one thread for decisions, a few for platform calls.
 *
 * <p>Snapshots are published through one atomic reference before any message that follows from them
 * is sent.
 */
public final class FleetNode implements AutoCloseable {

  private static final Logger LOGGER = Logger.getLogger(FleetNode.class);
  private static final long TICK_MS = 100;
  private static final int PLATFORM_THREADS = 3;

  private final DaemonEntry base;
  private final FleetSettings settings;
  private final ConfigFormat format;
  private final PeerTransport transport;
  private final Clock clock;
  private final long seed;
  private final PlatformCalls platform;
  private final PlatformWatches watches;
  private final ScheduledExecutorService loop;
  private final ExecutorService calls;
  private final AtomicReference<FleetView> view;
  private final List<Consumer<FleetView>> listeners = new CopyOnWriteArrayList<>();
  private final Map<String, Consumer<TopicState>> topics = new HashMap<>();
  private final CompletableFuture<Void> left = new CompletableFuture<>();
  private FleetMachine machine;
  private int rejoins;

  /**
   * Creates a daemon that does not run yet.
   *
   * @param self id of this run of the process, and where peers reach it
   * @param seed drives all random choices
   */
  public FleetNode(
      DaemonEntry self,
      FleetSettings settings,
      ConfigFormat format,
      ObjectStore store,
      PeerTransport transport,
      Clock clock,
      long seed) {
    this.base = self;
    this.settings = settings;
    this.format = format;
    this.transport = transport;
    this.clock = clock;
    this.seed = seed;
    this.machine = new FleetMachine(self, settings, format, seed, clock.nowMs());
    this.view = new AtomicReference<>(machine.view(clock.nowMs()));
    this.platform = new PlatformCalls(store);
    this.watches = new PlatformWatches(store, clock, settings.watchMs(), seed, this::onWatched);
    this.loop = Executors.newSingleThreadScheduledExecutor(threads("fleet"));
    this.calls = Executors.newFixedThreadPool(PLATFORM_THREADS, threads("fleet-platform"));
  }

  /** Starts the threads. The caller passes peers' frames to {@link #onFrame}. */
  public void start() {
    var unused =
        loop.scheduleWithFixedDelay(
            () -> guarded(nowMs -> machine.onTick(nowMs)), 0, TICK_MS, TimeUnit.MILLISECONDS);
  }

  /** The newest snapshot. */
  public FleetView view() {
    return Objects.requireNonNull(view.get());
  }

  /** Calls {@code listener} on the decision thread whenever roster or configuration change. */
  public void addListener(Consumer<FleetView> listener) {
    listeners.add(listener);
  }

  /** Calls {@code listener} on the decision thread with each newer value of a topic. */
  public void addTopicListener(String topicPrefix, Consumer<TopicState> listener) {
    submit(
        nowMs -> {
          topics.put(topicPrefix, listener);
          return List.of();
        });
  }

  /** Spreads a value to all daemons; a version not above the newest known is dropped. */
  public void gossip(TopicState state) {
    submit(nowMs -> machine.offer(state, nowMs));
  }

  /** Takes a frame of a peer; returns at once and ignores frames for other libraries. */
  public void onFrame(Envelope envelope) {
    submit(
        nowMs -> {
          try {
            DaemonId from = new DaemonId(envelope.getSender());
            return FleetCodec.read(envelope)
                .map(message -> machine.onMessage(from, message, nowMs))
                .orElse(List.of());
          } catch (IllegalArgumentException malformed) {
            LogEvent.PEER_FRAME_REJECTED.log(LOGGER, envelope.getSender(), malformed);
            return List.of();
          }
        });
  }

  /** Gives up all roles at once; the future ends when the roster no longer lists this daemon. */
  public CompletableFuture<Void> leave() {
    submit(nowMs -> machine.leave(nowMs));
    return left;
  }

  /** Stops all threads without a word to anybody; {@link #leave} comes first in a planned stop. */
  @Override
  public void close() {
    loop.shutdownNow();
    calls.shutdownNow();
    watches.close();
  }

  private void onWatched(PlatformWatches.Event event) {
    submit(nowMs -> event.deliver(machine, nowMs));
  }

  private void submit(LongFunction<List<FleetEffect>> input) {
    try {
      loop.execute(() -> guarded(input));
    } catch (RejectedExecutionException closed) {
      LOGGER.trace("input after close");
    }
  }

  private void guarded(LongFunction<List<FleetEffect>> input) {
    try {
      List<FleetEffect> effects = new ArrayList<>(input.apply(clock.nowMs()));
      publish();
      effects.forEach(this::run);
    } catch (RuntimeException failure) {
      LogEvent.UNEXPECTED_FAILURE.log(LOGGER, "fleet", failure);
    }
  }

  private void publish() {
    long nowMs = clock.nowMs();
    FleetView next = machine.view(nowMs);
    FleetView last = Objects.requireNonNull(view.getAndSet(next));
    if (next.config().generation() != last.config().generation()) {
      LogEvent.CONFIG_IN_FORCE.log(LOGGER, next.config().generation());
    }
    if (next.isFresh(nowMs) != last.isFresh(nowMs)) {
      logFreshness(next, nowMs);
    }
    boolean isChanged =
        next.config().generation() != last.config().generation()
            || next.roster().epoch() != last.roster().epoch()
            || next.isLeaving() != last.isLeaving()
            || !next.self().equals(last.self());
    if (isChanged) {
      listeners.forEach(listener -> listener.accept(next));
    }
    if (machine.hasLeft()) {
      left.complete(null);
    }
  }

  private static void logFreshness(FleetView view, long nowMs) {
    if (view.isFresh(nowMs)) {
      LogEvent.DAEMON_FRESH.log(LOGGER);
    } else {
      LogEvent.DAEMON_STALE.log(LOGGER, nowMs - view.currentAtMs());
    }
  }

  private void run(FleetEffect effect) {
    if (effect instanceof FleetEffect.Send send) {
      PeerAddress to = new PeerAddress(send.to().address(), send.to().peerPort());
      transport.send(to, FleetCodec.write(send.message()));
    } else if (effect instanceof FleetEffect.Watch watch) {
      watches.keep(watch.prefixes());
    } else if (effect instanceof FleetEffect.Deliver deliver) {
      deliver(deliver.state());
    } else if (effect instanceof FleetEffect.Evicted evicted) {
      rejoin(evicted.former());
    } else {
      calls.execute(() -> callPlatform(effect));
    }
  }

  private void callPlatform(FleetEffect effect) {
    PlatformCalls.@Nullable Answer answer = platform.run(effect, clock);
    if (answer != null) {
      submit(nowMs -> answer.deliver(machine, nowMs));
    }
  }

  private void deliver(TopicState state) {
    for (Map.Entry<String, Consumer<TopicState>> entry : topics.entrySet()) {
      if (state.topic().startsWith(entry.getKey())) {
        entry.getValue().accept(state);
      }
    }
  }

  private void rejoin(DaemonId former) {
    rejoins++;
    LogEvent.ROSTER_CHANGED.log(LOGGER, view().roster().epoch(), "evicted " + former);
    DaemonId id = new DaemonId(base.id() + "-" + rejoins);
    DaemonEntry entry = new DaemonEntry(id, base.address(), base.peerPort(), base.failureDomain());
    watches.keep(Set.of());
    TopicState accepted = machine.accepted();
    machine = new FleetMachine(entry, settings, format, seed + rejoins, clock.nowMs());
    if (accepted != null) {
      machine.offer(accepted, clock.nowMs());
    }
    publish();
  }

  private static ThreadFactory threads(String name) {
    return task -> {
      Thread thread = new Thread(task, name);
      thread.setDaemon(true);
      return thread;
    };
  }
}
