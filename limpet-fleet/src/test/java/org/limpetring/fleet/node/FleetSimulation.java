package org.limpetring.fleet.node;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;
import org.limpetring.base.Clock;
import org.limpetring.base.DaemonId;
import org.limpetring.base.FailureDomain;
import org.limpetring.fleet.DaemonEntry;
import org.limpetring.fleet.config.NumberedFormat;
import org.limpetring.fleet.roster.RosterMachine;
import org.limpetring.peer.proto.Envelope;
import org.limpetring.store.ListResult;
import org.limpetring.store.ReadResult;
import org.limpetring.store.StoredObject;
import org.limpetring.store.memory.FaultyObjectStore;
import org.limpetring.store.memory.MemoryObjectStore;
import org.limpetring.tables.ConfigKeys;

/** Complete daemons in simulated time with one store and a network that can be partitioned. */
final class FleetSimulation {

  static final int DOMAINS = 3;

  private static final int TICK_MS = 100;
  private static final int MESSAGE_DELAY_MS = 2;
  private static final int PLATFORM_CALL_MS = 5;

  final MemoryObjectStore store = new MemoryObjectStore();
  final FaultyObjectStore platform = new FaultyObjectStore(store);
  final TreeMap<DaemonId, Node> nodes = new TreeMap<>();
  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private final SplittableRandom random;
  private final int domains;
  private long nowMs = 1_000_000;
  private long sequence;
  private int started;
  long bytes;
  long messages;

  /** Pairs of sender and receiver whose link is down. */
  Predicate<List<DaemonId>> isLinkCut = pair -> false;

  /** Daemons that cannot reach the platform. */
  Predicate<DaemonId> isIsolatedFromPlatform = id -> false;

  private record Event(long atMs, long number, Runnable action) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      int byTime = Long.compare(atMs, other.atMs);
      return byTime != 0 ? byTime : Long.compare(number, other.number);
    }
  }

  FleetSimulation(int domains, long seed) {
    this.domains = domains;
    this.random = new SplittableRandom(seed);
  }

  /** One daemon with its platform watches and calls. */
  final class Node {
    final DaemonEntry entry;
    final FleetMachine machine;
    private Set<String> watchedPrefixes = Set.of();
    private final Map<String, Long> lastRevision = new HashMap<>();
    private final Map<String, Long> confirmedAtMs = new HashMap<>();
    boolean isPaused;
    boolean isDead;
    @Nullable DaemonId evictedAs;

    Node(DaemonEntry entry) {
      this.entry = entry;
      this.machine =
          new FleetMachine(entry, FleetSettings.DEFAULT, FORMAT, random.nextLong(1_000_000), nowMs);
    }

    FleetView view() {
      return machine.view(nowMs);
    }

    private void tick() {
      if (isDead) {
        return;
      }
      if (!isPaused) {
        run(machine.onTick(nowMs));
      }
      schedule(TICK_MS, this::tick);
    }

    private void run(List<FleetEffect> effects) {
      for (FleetEffect effect : effects) {
        if (effect instanceof FleetEffect.Send send) {
          send(send);
        } else if (effect instanceof FleetEffect.Watch watch) {
          startWatches(watch.prefixes());
        } else if (effect instanceof FleetEffect.Evicted evicted) {
          evictedAs = evicted.former();
        } else if (!(effect instanceof FleetEffect.Deliver)) {
          call(effect);
        }
      }
    }

    private void send(FleetEffect.Send send) {
      Envelope envelope =
          FleetCodec.write(send.message()).toBuilder().setSender(entry.id().value()).build();
      bytes += envelope.getSerializedSize();
      messages++;
      DaemonId to = send.to().id();
      if (isLinkCut.test(List.of(entry.id(), to)) || isLinkCut.test(List.of(to, entry.id()))) {
        return;
      }
      schedule(
          MESSAGE_DELAY_MS,
          () -> {
            Node receiver = nodes.get(to);
            if (receiver != null) {
              receiver.receive(entry.id(), envelope);
            }
          });
    }

    private void receive(DaemonId from, Envelope envelope) {
      if (isPaused) {
        schedule(TICK_MS, () -> receive(from, envelope));
      } else if (!isDead) {
        run(machine.onMessage(from, FleetCodec.read(envelope).orElseThrow(), nowMs));
      }
    }

    private void call(FleetEffect effect) {
      FaultyObjectStore reachableStore =
          isIsolatedFromPlatform.test(entry.id()) ? unreachable() : platform;
      Clock clock = () -> nowMs;
      PlatformCalls.Completion completion = new PlatformCalls(reachableStore).run(effect, clock);
      if (completion != null) {
        schedule(PLATFORM_CALL_MS, () -> resume(() -> run(completion.deliver(machine, nowMs))));
      }
    }

    private void resume(Runnable action) {
      if (isPaused) {
        schedule(TICK_MS, () -> resume(action));
      } else if (!isDead) {
        action.run();
      }
    }

    private void startWatches(Set<String> prefixes) {
      Set<String> before = watchedPrefixes;
      watchedPrefixes = prefixes;
      for (String prefix : prefixes) {
        if (!before.contains(prefix)) {
          lastRevision.put(prefix, -1L);
          poll(prefix);
        }
      }
    }

    /**
     * A long-poll watch: returns at once on a change, otherwise after its timeout; counts as one
     * call.
     */
    private void poll(String prefix) {
      if (!watchedPrefixes.contains(prefix) || isDead) {
        return;
      }
      if (isPaused) {
        schedule(TICK_MS, () -> poll(prefix));
        return;
      }
      long sentAtMs = nowMs;
      if (isIsolatedFromPlatform.test(entry.id())) {
        schedule(FleetSettings.DEFAULT.watchTimeoutMs(), () -> poll(prefix));
        return;
      }
      watchCalls.merge(prefix, 1L, Long::sum);
      awaitChange(prefix, sentAtMs);
    }

    private void awaitChange(String prefix, long sentAtMs) {
      ListResult result = platform.list(prefix);
      uncountedListCalls++;
      if (!(result instanceof ListResult.Listed listed)) {
        schedule(FleetSettings.DEFAULT.watchTimeoutMs(), () -> poll(prefix));
        return;
      }
      boolean hasChanged = changedAfter(listed, prefix);
      boolean hasTimedOut = nowMs - sentAtMs >= FleetSettings.DEFAULT.watchTimeoutMs();
      if (!hasChanged && !hasTimedOut) {
        schedule(PLATFORM_CALL_MS, () -> awaitChange(prefix, sentAtMs));
        return;
      }
      schedule(
          PLATFORM_CALL_MS,
          () -> resume(() -> applyWatchResult(prefix, listed, hasChanged, sentAtMs)));
    }

    private boolean changedAfter(ListResult.Listed listed, String prefix) {
      long lastSeenRevision = lastRevision.getOrDefault(prefix, -1L);
      long newest = listed.objects().stream().mapToLong(StoredObject::version).max().orElse(0);
      return lastSeenRevision < 0 || newest > lastSeenRevision;
    }

    private void applyWatchResult(
        String prefix, ListResult.Listed listed, boolean hasChanged, long sentAtMs) {
      if (hasChanged) {
        lastRevision.put(prefix, listed.revision());
        for (StoredObject object : listed.objects()) {
          run(machine.onStored(object.key(), object.value(), nowMs));
        }
        if (prefix.equals(ConfigKeys.TABLES_PREFIX) || prefix.equals(ConfigKeys.SERVICE_PREFIX)) {
          machine.onSourcesChanged(listed.revision(), nowMs);
        }
      }
      confirmedAtMs.put(prefix, sentAtMs);
      Long accepted = confirmedAtMs.get(ConfigKeys.ACCEPTED);
      Long roster = confirmedAtMs.get(RosterMachine.KEY);
      if (accepted != null && roster != null) {
        machine.onPlatformConfirmed(Math.min(accepted, roster));
      }
      poll(prefix);
    }
  }

  private static final NumberedFormat FORMAT = new NumberedFormat();
  private final Map<String, Long> watchCalls = new HashMap<>();
  private long uncountedListCalls;

  private static FaultyObjectStore unreachable() {
    FaultyObjectStore store = new FaultyObjectStore(new MemoryObjectStore());
    store.setDown(true);
    return store;
  }

  /** Platform calls so far; each long poll counts as one. */
  long platformCalls() {
    return platform.calls()
        - uncountedListCalls
        + watchCalls.values().stream().mapToLong(count -> count).sum();
  }

  Node start() {
    DaemonId id = new DaemonId("d%04d".formatted(started));
    FailureDomain domain = new FailureDomain("domain" + started % domains);
    started++;
    Node node = new Node(new DaemonEntry(id, "10.0.0.1", 7000, domain));
    nodes.put(id, node);
    schedule(random.nextInt(TICK_MS), node::tick);
    return node;
  }

  void startAll(int count) {
    start();
    advance(3_000);
    for (int number = 1; number < count; number++) {
      start();
    }
  }

  void kill(Node node) {
    node.isDead = true;
    nodes.remove(node.entry.id());
  }

  /** Writes route table {@code number}. */
  void apply(int number) {
    long version =
        store.get(ConfigKeys.ROUTES) instanceof ReadResult.Found found
            ? found.object().version()
            : 0;
    store.put(ConfigKeys.ROUTES, Integer.toString(number), version);
  }

  boolean isInForce(int number) {
    return nodes.values().stream()
        .allMatch(
            node ->
                node.view()
                    .config()
                    .routes()
                    .equals(NumberedFormat.table(Integer.toString(number))));
  }

  /**
   * Advances until route table {@code number} is in force on all daemons; returns the elapsed time.
   */
  long awaitInForce(int number, long timeoutMs) {
    long startMs = nowMs;
    while (!isInForce(number) && nowMs - startMs < timeoutMs) {
      advance(10);
    }
    return nowMs - startMs;
  }

  long nowMs() {
    return nowMs;
  }

  List<Node> list() {
    return new ArrayList<>(nodes.values());
  }

  void advance(long stepMs) {
    long endMs = nowMs + stepMs;
    while (!events.isEmpty() && events.element().atMs() <= endMs) {
      Event event = events.remove();
      nowMs = Math.max(nowMs, event.atMs());
      event.action().run();
    }
    nowMs = endMs;
  }

  private void schedule(long delayMs, Runnable action) {
    events.add(new Event(nowMs + delayMs, sequence++, action));
  }
}
