package org.limpetring.fleet.role;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import org.limpetring.base.DaemonId;
import org.limpetring.base.FailureDomain;
import org.limpetring.base.GroupId;
import org.limpetring.fleet.DaemonEntry;
import org.limpetring.fleet.Role;
import org.limpetring.fleet.Roster;
import org.limpetring.fleet.freshness.FreshnessMachine;
import org.limpetring.fleet.freshness.FreshnessReport;
import org.limpetring.fleet.roster.RosterChange;
import org.limpetring.fleet.roster.RosterRecord;

/**
 * Daemons that exchange reports over a bad network while rosters change; the oracle counts who may
 * act at each instant.
 */
final class TakeoverWorld {

  static final RoleSettings SETTINGS = new RoleSettings(1_000, 100, 20_000);

  private static final int TICK_MS = 50;
  private static final int EXCHANGE_MS = 200;
  private static final int FIRST_DAEMONS = 5;
  private static final int MAX_DAEMONS = 12;
  private static final int MAX_LATENCY_MS = 300;
  private static final double DRIFT = 0.002;

  private final List<Role> roles = new ArrayList<>();
  private final List<Node> nodes = new ArrayList<>();
  private final PriorityQueue<Delivery> network =
      new PriorityQueue<>(
          Comparator.comparingDouble(Delivery::atMs).thenComparingLong(Delivery::number));
  private final Set<Integer> cutPairs = new HashSet<>();
  private final SplittableRandom random;
  private RosterRecord stored = RosterRecord.EMPTY;
  private boolean isPlatformDown;
  private double lossRate = 0.05;
  private int slowdown = 1;
  private double nowMs = 1_000;
  private long deliveries;
  private long actions;

  private record Delivery(double atMs, long number, Node to, Runnable action) {}

  TakeoverWorld(long seed) {
    random = new SplittableRandom(seed);
    for (int number = 0; number < 3; number++) {
      roles.add(Role.claimOwner(number));
      roles.add(Role.coldSender(new GroupId("group" + number)));
    }
    for (int number = 0; number < FIRST_DAEMONS; number++) {
      join();
    }
  }

  private final class Node {
    private final int number;
    private final DaemonId id;
    private final FreshnessMachine freshness;
    private final RoleKeeper keeper;
    private final double rate = 1 + DRIFT * (random.nextDouble() * 2 - 1);
    private final double offsetMs = random.nextInt(100_000);
    private RosterRecord record = RosterRecord.EMPTY;
    private boolean isPaused;
    private boolean isDead;
    private boolean hasLeft;
    private boolean isCutFromPlatform;
    private double nextExchangeMs;

    Node(int number) {
      this.number = number;
      this.id = new DaemonId("d" + number);
      this.freshness = new FreshnessMachine(id);
      this.keeper = new RoleKeeper(id, SETTINGS);
    }

    long clockMs() {
      return (long) (offsetMs + nowMs * rate);
    }

    boolean runs() {
      return !isPaused && !isDead;
    }

    void learn(RosterRecord newer) {
      if (newer.epoch() > record.epoch()) {
        record = newer;
        freshness.onRoster(newer.roster());
        keeper.onRecord(newer, clockMs());
        keeper.retire(clockMs());
      }
    }

    void tick() {
      if (!runs() || nowMs < nextExchangeMs) {
        return;
      }
      nextExchangeMs = nowMs + EXCHANGE_MS / 2 + random.nextInt(EXCHANGE_MS);
      readPlatform();
      Node peer = nodes.get(random.nextInt(nodes.size()));
      long askedAtMs = clockMs();
      long epoch = record.epoch();
      if (peer != this) {
        send(this, peer, () -> peer.answer(this, epoch, askedAtMs));
      }
    }

    private void readPlatform() {
      if (isPlatformDown || isCutFromPlatform) {
        return;
      }
      long sentAtMs = clockMs();
      later(
          this,
          () -> {
            RosterRecord read = stored;
            later(
                this,
                () -> {
                  learn(read);
                  if (read.epoch() >= record.epoch()) {
                    freshness.onPlatformConfirmed(sentAtMs);
                  }
                });
          });
    }

    private void answer(Node asker, long askerEpoch, long askedAtMs) {
      keeper.onEpochSeen(asker.id, askerEpoch, clockMs());
      if (hasLeft) {
        return;
      }
      FreshnessReport report = freshness.report(true, clockMs());
      RosterRecord known = record;
      BitSet seen = keeper.seen();
      send(this, asker, () -> asker.onAnswer(this, known, report, seen, askedAtMs));
    }

    private void onAnswer(
        Node peer, RosterRecord known, FreshnessReport report, BitSet seen, long askedAtMs) {
      learn(known);
      freshness.onReport(peer.id, report, askedAtMs);
      keeper.onEpochSeen(peer.id, report.epoch(), clockMs());
      keeper.onSeen(seen, report.epoch(), clockMs());
      keeper.retire(clockMs());
    }

    RoleView view() {
      return keeper.view(freshness.currentAtMs(clockMs()), freshness.platformAtMs());
    }
  }

  /** Lets {@code ms} pass and counts holders at each instant. */
  void advance(int ms) {
    for (int passed = 0; passed < ms; passed += TICK_MS) {
      nowMs += TICK_MS;
      while (!network.isEmpty() && network.element().atMs() <= nowMs) {
        Delivery delivery = network.remove();
        if (delivery.to().runs()) {
          delivery.action().run();
        } else if (!delivery.to().isDead) {
          // A paused process finds its messages when it runs again.
          network.add(
              new Delivery(nowMs + TICK_MS, deliveries++, delivery.to(), delivery.action()));
        }
      }
      nodes.forEach(Node::tick);
      check();
    }
  }

  private void check() {
    List<RoleView> views = nodes.stream().filter(node -> !node.isDead).map(Node::view).toList();
    List<Long> clocks = nodes.stream().filter(node -> !node.isDead).map(Node::clockMs).toList();
    for (Role role : roles) {
      int holders = 0;
      for (int index = 0; index < views.size(); index++) {
        holders += views.get(index).mayAct(role, clocks.get(index)) ? 1 : 0;
      }
      actions += holders;
      assertWithMessage("holders of %s at %s ms, epoch %s", role, nowMs, stored.epoch())
          .that(holders)
          .isAtMost(role.kind().holders());
    }
  }

  void pause(int index, boolean pauses) {
    node(index).isPaused = pauses;
  }

  void kill(int index) {
    node(index).isDead = true;
  }

  void cut(int one, int other, boolean cuts) {
    int pair = pair(node(one), node(other));
    if (cuts) {
      cutPairs.add(pair);
    } else {
      cutPairs.remove(pair);
    }
  }

  /**
   * Separates the daemons below {@code bound} from the rest; only one side may reach the platform.
   */
  void split(int bound, boolean lowerReaches, boolean upperReaches) {
    cutPairs.clear();
    for (Node one : nodes) {
      boolean isLower = one.number < bound % nodes.size();
      one.isCutFromPlatform = isLower ? !lowerReaches : !upperReaches;
      for (Node other : nodes) {
        if (isLower && other.number >= bound % nodes.size()) {
          cutPairs.add(pair(one, other));
        }
      }
    }
  }

  void cutPlatform(int index, boolean cuts) {
    node(index).isCutFromPlatform = cuts;
  }

  void setPlatformDown(boolean down) {
    isPlatformDown = down;
  }

  void setBadNetwork(boolean bad) {
    lossRate = bad ? 0.5 : 0.05;
    slowdown = bad ? 8 : 1;
  }

  /** Some daemon that knows the newest roster removes others without hearing of them. */
  void evict(int writer, int first, int count) {
    Set<DaemonId> evicted = new TreeSet<>();
    List<DaemonId> ids = stored.roster().ids();
    for (int offset = 0; offset < count && ids.size() - evicted.size() > 1; offset++) {
      evicted.add(ids.get((first + offset) % ids.size()));
    }
    write(node(writer), List.of(), List.of(), List.copyOf(evicted));
  }

  /** A new daemon starts and adds itself. */
  void join() {
    if (isPlatformDown || nodes.size() >= MAX_DAEMONS) {
      return;
    }
    Node joining = new Node(nodes.size());
    nodes.add(joining);
    joining.learn(stored);
    write(joining, List.of(joining.id), List.of(), List.of());
  }

  /** A daemon stops: it gives up its roles and confirmations, then removes itself. */
  void leave(int index) {
    Node leaving = node(index);
    if (!leaving.runs() || stored.roster().daemons().size() < 2) {
      return;
    }
    leaving.keeper.release();
    leaving.hasLeft = true;
    write(leaving, List.of(), List.of(leaving.id), List.of());
  }

  private void write(
      Node writer, List<DaemonId> joined, List<DaemonId> left, List<DaemonId> evicted) {
    boolean reaches = !isPlatformDown && !writer.isCutFromPlatform && writer.runs();
    boolean changes =
        !joined.isEmpty()
            || stored.roster().ids().stream()
                .anyMatch(id -> left.contains(id) || evicted.contains(id));
    if (!reaches || !changes) {
      return;
    }
    writer.learn(stored);
    List<DaemonEntry> entries = new ArrayList<>();
    for (DaemonEntry entry : stored.roster().daemons()) {
      if (!left.contains(entry.id()) && !evicted.contains(entry.id())) {
        entries.add(entry);
      }
    }
    for (DaemonId id : joined) {
      entries.add(new DaemonEntry(id, "127.0.0.1", 1, new FailureDomain("a")));
    }
    long epoch = stored.epoch() + 1;
    List<RosterChange> changesSoFar = new ArrayList<>(stored.changes());
    changesSoFar.add(new RosterChange(epoch, joined, left, evicted));
    long retired = writer.keeper.retire(writer.clockMs());
    stored =
        new RosterRecord(new Roster(epoch, entries), changesSoFar, stored.retiredEpoch())
            .retire(retired);
    if (random.nextBoolean()) {
      writer.learn(stored);
    }
  }

  /** Ends all faults; each role must find its holders again. */
  void settle() {
    cutPairs.clear();
    isPlatformDown = false;
    setBadNetwork(false);
    for (Node node : nodes) {
      node.isPaused = false;
      node.isCutFromPlatform = false;
    }
    advance((int) SETTINGS.outageRetirementMs() + 4_000);
    // Dead daemons stay in the roster until someone evicts them.
    Set<DaemonId> running = new HashSet<>();
    nodes.stream().filter(node -> node.runs() && !node.hasLeft).forEach(n -> running.add(n.id));
    for (Role role : roles) {
      for (Node node : nodes) {
        boolean holds =
            running.contains(node.id) && role.holders(stored.roster()).contains(node.id);
        assertWithMessage("%s in %s", node.id, role)
            .that(node.view().mayAct(role, node.clockMs()))
            .isEqualTo(holds);
      }
    }
  }

  long actions() {
    return actions;
  }

  long epoch() {
    return stored.epoch();
  }

  private Node node(int index) {
    return nodes.get(index % nodes.size());
  }

  private static int pair(Node one, Node other) {
    return Math.min(one.number, other.number) * MAX_DAEMONS + Math.max(one.number, other.number);
  }

  private void send(Node from, Node to, Runnable action) {
    if (random.nextDouble() < lossRate || cutPairs.contains(pair(from, to))) {
      return;
    }
    later(to, action);
  }

  private void later(Node to, Runnable action) {
    double atMs = nowMs + 1 + random.nextInt(MAX_LATENCY_MS) * slowdown;
    network.add(new Delivery(atMs, deliveries++, to, action));
  }
}
