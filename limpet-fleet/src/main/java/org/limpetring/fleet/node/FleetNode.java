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
import org.limpetring.fleet.gossip.TopicState;
import org.limpetring.peer.PeerAddress;
import org.limpetring.peer.PeerTransport;
import org.limpetring.peer.proto.Envelope;
import org.limpetring.store.ObjectStore;

/**
 * Runs the fleet machine of one daemon: one thread for decisions, a pool for platform calls.
 *
 * <p>A snapshot is published through one atomic reference before any message based on it is sent.
 */
public final class FleetNode implements AutoCloseable {

  private static final Logger LOGGER = Logger.getLogger(FleetNode.class);
  private static final long TICK_MS = 100;
  private static final int PLATFORM_THREADS = 3;

  private final DaemonEntry initialEntry;
  private final FleetSettings settings;
  private final ConfigFormat format;
  private final PeerTransport transport;
  private final Clock clock;
  private final long seed;
  private final PlatformCalls platformCalls;
  private final PlatformWatches platformWatches;
  private final ScheduledExecutorService decisionLoop;
  private final ExecutorService platformExecutor;
  private final AtomicReference<FleetView> view;
  private final List<Consumer<FleetView>> listeners = new CopyOnWriteArrayList<>();
  private final Map<String, Consumer<TopicState>> topicListeners = new HashMap<>();
  private final CompletableFuture<Void> leaveFuture = new CompletableFuture<>();
  private FleetMachine machine;
  private int rejoinCount;

  /**
   * Creates a node; {@link #start} starts it.
   *
   * @param self id of this process incarnation and its address for peers
   * @param seed seed of all random choices
   */
  public FleetNode(
      DaemonEntry self,
      FleetSettings settings,
      ConfigFormat format,
      ObjectStore store,
      PeerTransport transport,
      Clock clock,
      long seed) {
    this.initialEntry = self;
    this.settings = settings;
    this.format = format;
    this.transport = transport;
    this.clock = clock;
    this.seed = seed;
    this.machine = new FleetMachine(self, settings, format, seed, clock.nowMs());
    this.view = new AtomicReference<>(machine.view(clock.nowMs()));
    this.platformCalls = new PlatformCalls(store);
    this.platformWatches =
        new PlatformWatches(store, clock, settings.watchTimeoutMs(), seed, this::onWatchEvent);
    this.decisionLoop = Executors.newSingleThreadScheduledExecutor(threadFactory("fleet"));
    this.platformExecutor =
        Executors.newFixedThreadPool(PLATFORM_THREADS, threadFactory("fleet-platform"));
  }

  /** Starts the decision thread. The caller must pass peers' frames to {@link #onFrame}. */
  public void start() {
    var unused =
        decisionLoop.scheduleWithFixedDelay(
            () -> process(nowMs -> machine.onTick(nowMs)), 0, TICK_MS, TimeUnit.MILLISECONDS);
  }

  /** The newest snapshot. */
  public FleetView view() {
    return Objects.requireNonNull(view.get());
  }

  /**
   * Calls {@code listener} on the decision thread whenever the roster, the configuration, the
   * daemon's id or its leaving state changes.
   */
  public void addListener(Consumer<FleetView> listener) {
    listeners.add(listener);
  }

  /**
   * Calls {@code listener} on the decision thread with each newer value of topics with this prefix.
   */
  public void addTopicListener(String topicPrefix, Consumer<TopicState> listener) {
    submit(
        nowMs -> {
          topicListeners.put(topicPrefix, listener);
          return List.of();
        });
  }

  /**
   * Distributes a value to all daemons by gossip; a version not above the newest known one is
   * dropped.
   */
  public void gossip(TopicState state) {
    submit(nowMs -> machine.offer(state, nowMs));
  }

  /** Processes a frame from a peer asynchronously; frames for other libraries are ignored. */
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

  /**
   * Releases all roles at once; the future completes when this daemon is removed from the roster.
   */
  public CompletableFuture<Void> leave() {
    submit(nowMs -> machine.leave(nowMs));
    return leaveFuture;
  }

  /** Stops all threads without notifying peers; call {@link #leave} first for a planned stop. */
  @Override
  public void close() {
    decisionLoop.shutdownNow();
    platformExecutor.shutdownNow();
    platformWatches.close();
  }

  private void onWatchEvent(PlatformWatches.WatchEvent event) {
    submit(nowMs -> event.deliver(machine, nowMs));
  }

  private void submit(LongFunction<List<FleetEffect>> input) {
    try {
      decisionLoop.execute(() -> process(input));
    } catch (RejectedExecutionException closed) {
      LOGGER.trace("input ignored, node is closed");
    }
  }

  private void process(LongFunction<List<FleetEffect>> input) {
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
      leaveFuture.complete(null);
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
      platformWatches.setPrefixes(watch.prefixes());
    } else if (effect instanceof FleetEffect.Deliver deliver) {
      deliver(deliver.state());
    } else if (effect instanceof FleetEffect.Evicted evicted) {
      rejoin(evicted.former());
    } else {
      platformExecutor.execute(() -> callPlatform(effect));
    }
  }

  private void callPlatform(FleetEffect effect) {
    PlatformCalls.@Nullable Completion completion = platformCalls.run(effect, clock);
    if (completion != null) {
      submit(nowMs -> completion.deliver(machine, nowMs));
    }
  }

  private void deliver(TopicState state) {
    for (Map.Entry<String, Consumer<TopicState>> entry : topicListeners.entrySet()) {
      if (state.topic().startsWith(entry.getKey())) {
        entry.getValue().accept(state);
      }
    }
  }

  private void rejoin(DaemonId former) {
    rejoinCount++;
    LogEvent.ROSTER_CHANGED.log(LOGGER, view().roster().epoch(), "evicted " + former);
    DaemonId id = new DaemonId(initialEntry.id() + "-" + rejoinCount);
    DaemonEntry entry =
        new DaemonEntry(
            id, initialEntry.address(), initialEntry.peerPort(), initialEntry.failureDomain());
    platformWatches.setPrefixes(Set.of());
    TopicState accepted = machine.accepted();
    machine = new FleetMachine(entry, settings, format, seed + rejoinCount, clock.nowMs());
    if (accepted != null) {
      machine.offer(accepted, clock.nowMs());
    }
    publish();
  }

  private static ThreadFactory threadFactory(String name) {
    return task -> {
      Thread thread = new Thread(task, name);
      thread.setDaemon(true);
      return thread;
    };
  }
}
