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

/** Whole daemons in simulated time over one store and a network that can be cut. */
final class FleetWorld {

  static final int DOMAINS = 3;

  private static final int TICK_MS = 100;
  private static final int MESSAGE_MS = 2;
  private static final int CALL_MS = 5;

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

  /** Pairs that cannot talk. */
  Predicate<List<DaemonId>> isCut = pair -> false;

  /** Daemons that cannot reach the platform. */
  Predicate<DaemonId> isCutFromPlatform = id -> false;

  private record Event(long atMs, long number, Runnable action) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      int byTime = Long.compare(atMs, other.atMs);
      return byTime != 0 ? byTime : Long.compare(number, other.number);
    }
  }

  FleetWorld(int domains, long seed) {
    this.domains = domains;
    this.random = new SplittableRandom(seed);
  }

  /** One daemon with its watches and its calls. */
  final class Node {
    final DaemonEntry entry;
    final FleetMachine machine;
    private Set<String> watched = Set.of();
    private final Map<String, Long> seenRevision = new HashMap<>();
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
      after(TICK_MS, this::tick);
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
      if (isCut.test(List.of(entry.id(), to)) || isCut.test(List.of(to, entry.id()))) {
        return;
      }
      after(
          MESSAGE_MS,
          () -> {
            Node receiver = nodes.get(to);
            if (receiver != null) {
              receiver.receive(entry.id(), envelope);
            }
          });
    }

    private void receive(DaemonId from, Envelope envelope) {
      if (isPaused) {
        after(TICK_MS, () -> receive(from, envelope));
      } else if (!isDead) {
        run(machine.onMessage(from, FleetCodec.read(envelope).orElseThrow(), nowMs));
      }
    }

    private void call(FleetEffect effect) {
      FaultyObjectStore reached = isCutFromPlatform.test(entry.id()) ? unreachable() : platform;
      Clock clock = () -> nowMs;
      PlatformCalls.Answer answer = new PlatformCalls(reached).run(effect, clock);
      if (answer != null) {
        after(CALL_MS, () -> resume(() -> run(answer.deliver(machine, nowMs))));
      }
    }

    private void resume(Runnable action) {
      if (isPaused) {
        after(TICK_MS, () -> resume(action));
      } else if (!isDead) {
        action.run();
      }
    }

    private void startWatches(Set<String> prefixes) {
      Set<String> before = watched;
      watched = prefixes;
      for (String prefix : prefixes) {
        if (!before.contains(prefix)) {
          seenRevision.put(prefix, -1L);
          poll(prefix);
        }
      }
    }

    /** A watch: answers at once on a change, else after its wait; each round counts one call. */
    private void poll(String prefix) {
      if (!watched.contains(prefix) || isDead) {
        return;
      }
      if (isPaused) {
        after(TICK_MS, () -> poll(prefix));
        return;
      }
      long sentAtMs = nowMs;
      if (isCutFromPlatform.test(entry.id())) {
        after(FleetSettings.DEFAULT.watchMs(), () -> poll(prefix));
        return;
      }
      calls.merge(prefix, 1L, Long::sum);
      awaitChange(prefix, sentAtMs);
    }

    private void awaitChange(String prefix, long sentAtMs) {
      ListResult result = platform.list(prefix);
      uncounted++;
      if (!(result instanceof ListResult.Listed listed)) {
        after(FleetSettings.DEFAULT.watchMs(), () -> poll(prefix));
        return;
      }
      boolean isNew = changedAfter(listed, prefix);
      boolean isOver = nowMs - sentAtMs >= FleetSettings.DEFAULT.watchMs();
      if (!isNew && !isOver) {
        after(CALL_MS, () -> awaitChange(prefix, sentAtMs));
        return;
      }
      after(CALL_MS, () -> resume(() -> takeWatched(prefix, listed, isNew, sentAtMs)));
    }

    private boolean changedAfter(ListResult.Listed listed, String prefix) {
      long seen = seenRevision.getOrDefault(prefix, -1L);
      long newest = listed.objects().stream().mapToLong(StoredObject::version).max().orElse(0);
      return seen < 0 || newest > seen;
    }

    private void takeWatched(
        String prefix, ListResult.Listed listed, boolean isNew, long sentAtMs) {
      if (isNew) {
        seenRevision.put(prefix, listed.revision());
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
  private final Map<String, Long> calls = new HashMap<>();
  private long uncounted;

  private static FaultyObjectStore unreachable() {
    FaultyObjectStore store = new FaultyObjectStore(new MemoryObjectStore());
    store.setDown(true);
    return store;
  }

  /** Platform calls so far; a waiting watch counts as one. */
  long platformCalls() {
    return platform.calls() - uncounted + calls.values().stream().mapToLong(count -> count).sum();
  }

  Node start() {
    DaemonId id = new DaemonId("d%04d".formatted(started));
    FailureDomain domain = new FailureDomain("domain" + started % domains);
    started++;
    Node node = new Node(new DaemonEntry(id, "10.0.0.1", 7000, domain));
    nodes.put(id, node);
    after(random.nextInt(TICK_MS), node::tick);
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

  /** Writes a new table of routes, the {@code number}th. */
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

  /** Advances until {@code number} is in force everywhere; returns the time it took. */
  long awaitInForce(int number, long limitMs) {
    long startMs = nowMs;
    while (!isInForce(number) && nowMs - startMs < limitMs) {
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

  private void after(long delayMs, Runnable action) {
    events.add(new Event(nowMs + delayMs, sequence++, action));
  }
}
