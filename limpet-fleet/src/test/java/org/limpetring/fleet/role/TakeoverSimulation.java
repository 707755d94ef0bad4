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
 * Daemons that exchange reports over an unreliable network while the roster changes; the oracle
 * counts the daemons that may act in each role at each instant.
 */
final class TakeoverSimulation {

  static final RoleSettings SETTINGS = new RoleSettings(1_000, 100, 20_000);

  private static final int TICK_MS = 50;
  private static final int EXCHANGE_INTERVAL_MS = 200;
  private static final int INITIAL_DAEMONS = 5;
  private static final int MAX_DAEMONS = 12;
  private static final int MAX_LATENCY_MS = 300;
  private static final double MAX_CLOCK_DRIFT = 0.002;

  private final List<Role> roles = new ArrayList<>();
  private final List<Node> nodes = new ArrayList<>();
  private final PriorityQueue<Delivery> network =
      new PriorityQueue<>(
          Comparator.comparingDouble(Delivery::atMs).thenComparingLong(Delivery::number));
  private final Set<Integer> cutLinks = new HashSet<>();
  private final SplittableRandom random;
  private RosterRecord stored = RosterRecord.EMPTY;
  private boolean isPlatformDown;
  private double lossRate = 0.05;
  private int latencyFactor = 1;
  private double nowMs = 1_000;
  private long deliveries;
  private long actions;

  private record Delivery(double atMs, long number, Node to, Runnable action) {}

  TakeoverSimulation(long seed) {
    random = new SplittableRandom(seed);
    for (int number = 0; number < 3; number++) {
      roles.add(Role.claimOwner(number));
      roles.add(Role.coldSender(new GroupId("group" + number)));
    }
    for (int number = 0; number < INITIAL_DAEMONS; number++) {
      join();
    }
  }

  private final class Node {
    private final int number;
    private final DaemonId id;
    private final FreshnessMachine freshness;
    private final RoleManager roleManager;
    private final double clockRate = 1 + MAX_CLOCK_DRIFT * (random.nextDouble() * 2 - 1);
    private final double clockOffsetMs = random.nextInt(100_000);
    private RosterRecord record = RosterRecord.EMPTY;
    private boolean isPaused;
    private boolean isDead;
    private boolean hasLeft;
    private boolean isIsolatedFromPlatform;
    private double nextExchangeMs;

    Node(int number) {
      this.number = number;
      this.id = new DaemonId("d" + number);
      this.freshness = new FreshnessMachine(id);
      this.roleManager = new RoleManager(id, SETTINGS);
    }

    long clockMs() {
      return (long) (clockOffsetMs + nowMs * clockRate);
    }

    boolean isRunning() {
      return !isPaused && !isDead;
    }

    void adoptRecord(RosterRecord newer) {
      if (newer.epoch() > record.epoch()) {
        record = newer;
        freshness.onRoster(newer.roster());
        roleManager.onRecord(newer, clockMs());
        roleManager.retire(clockMs());
      }
    }

    void tick() {
      if (!isRunning() || nowMs < nextExchangeMs) {
        return;
      }
      nextExchangeMs = nowMs + EXCHANGE_INTERVAL_MS / 2 + random.nextInt(EXCHANGE_INTERVAL_MS);
      readPlatform();
      Node peer = nodes.get(random.nextInt(nodes.size()));
      long requestedAtMs = clockMs();
      long epoch = record.epoch();
      if (peer != this) {
        send(this, peer, () -> peer.respond(this, epoch, requestedAtMs));
      }
    }

    private void readPlatform() {
      if (isPlatformDown || isIsolatedFromPlatform) {
        return;
      }
      long sentAtMs = clockMs();
      schedule(
          this,
          () -> {
            RosterRecord read = stored;
            schedule(
                this,
                () -> {
                  adoptRecord(read);
                  if (read.epoch() >= record.epoch()) {
                    freshness.onPlatformConfirmed(sentAtMs);
                  }
                });
          });
    }

    private void respond(Node requester, long requesterEpoch, long requestedAtMs) {
      roleManager.onEpochAcknowledged(requester.id, requesterEpoch, clockMs());
      if (hasLeft) {
        return;
      }
      FreshnessReport report = freshness.report(true, clockMs());
      RosterRecord knownRecord = record;
      BitSet acknowledgements = roleManager.acknowledgements();
      send(
          this,
          requester,
          () -> requester.onResponse(this, knownRecord, report, acknowledgements, requestedAtMs));
    }

    private void onResponse(
        Node peer,
        RosterRecord knownRecord,
        FreshnessReport report,
        BitSet acknowledgements,
        long requestedAtMs) {
      adoptRecord(knownRecord);
      freshness.onReport(peer.id, report, requestedAtMs);
      roleManager.onEpochAcknowledged(peer.id, report.epoch(), clockMs());
      roleManager.onAcknowledgements(acknowledgements, report.epoch(), clockMs());
      roleManager.retire(clockMs());
    }

    RoleView view() {
      return roleManager.view(freshness.currentAtMs(clockMs()), freshness.platformConfirmedAtMs());
    }
  }

  /** Advances time by {@code ms} and checks the number of holders at each tick. */
  void advance(int ms) {
    for (int passed = 0; passed < ms; passed += TICK_MS) {
      nowMs += TICK_MS;
      while (!network.isEmpty() && network.element().atMs() <= nowMs) {
        Delivery delivery = network.remove();
        if (delivery.to().isRunning()) {
          delivery.action().run();
        } else if (!delivery.to().isDead) {
          // A paused process receives its messages after it resumes.
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

  void setPaused(int index, boolean paused) {
    node(index).isPaused = paused;
  }

  void kill(int index) {
    node(index).isDead = true;
  }

  void setLinkCut(int one, int other, boolean disconnected) {
    int linkId = linkId(node(one), node(other));
    if (disconnected) {
      cutLinks.add(linkId);
    } else {
      cutLinks.remove(linkId);
    }
  }

  /**
   * Partitions the daemons below {@code bound} from the rest; sets for each side whether it reaches
   * the platform.
   */
  void partition(int bound, boolean lowerReachesPlatform, boolean upperReachesPlatform) {
    cutLinks.clear();
    for (Node one : nodes) {
      boolean isLower = one.number < bound % nodes.size();
      one.isIsolatedFromPlatform = isLower ? !lowerReachesPlatform : !upperReachesPlatform;
      for (Node other : nodes) {
        if (isLower && other.number >= bound % nodes.size()) {
          cutLinks.add(linkId(one, other));
        }
      }
    }
  }

  void setIsolatedFromPlatform(int index, boolean disconnected) {
    node(index).isIsolatedFromPlatform = disconnected;
  }

  void setPlatformDown(boolean down) {
    isPlatformDown = down;
  }

  void setNetworkDegraded(boolean degraded) {
    lossRate = degraded ? 0.5 : 0.05;
    latencyFactor = degraded ? 8 : 1;
  }

  /** A daemon that knows the newest roster evicts up to {@code count} daemons. */
  void evict(int writer, int first, int count) {
    Set<DaemonId> evicted = new TreeSet<>();
    List<DaemonId> ids = stored.roster().ids();
    for (int offset = 0; offset < count && ids.size() - evicted.size() > 1; offset++) {
      evicted.add(ids.get((first + offset) % ids.size()));
    }
    write(node(writer), List.of(), List.of(), List.copyOf(evicted));
  }

  /** Starts a new daemon that adds itself to the roster. */
  void join() {
    if (isPlatformDown || nodes.size() >= MAX_DAEMONS) {
      return;
    }
    Node joining = new Node(nodes.size());
    nodes.add(joining);
    joining.adoptRecord(stored);
    write(joining, List.of(joining.id), List.of(), List.of());
  }

  /** Stops a daemon: it releases its roles, gives no more confirmations and removes itself. */
  void leave(int index) {
    Node leaving = node(index);
    if (!leaving.isRunning() || stored.roster().daemons().size() < 2) {
      return;
    }
    leaving.roleManager.release();
    leaving.hasLeft = true;
    write(leaving, List.of(), List.of(leaving.id), List.of());
  }

  private void write(
      Node writer, List<DaemonId> joined, List<DaemonId> left, List<DaemonId> evicted) {
    boolean canReachPlatform =
        !isPlatformDown && !writer.isIsolatedFromPlatform && writer.isRunning();
    boolean hasChanges =
        !joined.isEmpty()
            || stored.roster().ids().stream()
                .anyMatch(id -> left.contains(id) || evicted.contains(id));
    if (!canReachPlatform || !hasChanges) {
      return;
    }
    writer.adoptRecord(stored);
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
    List<RosterChange> changeHistory = new ArrayList<>(stored.changes());
    changeHistory.add(new RosterChange(epoch, joined, left, evicted));
    long retired = writer.roleManager.retire(writer.clockMs());
    stored =
        new RosterRecord(new Roster(epoch, entries), changeHistory, stored.retiredEpoch())
            .retire(retired);
    if (random.nextBoolean()) {
      writer.adoptRecord(stored);
    }
  }

  /** Ends all faults and checks that each role is held again by its holders. */
  void settle() {
    cutLinks.clear();
    isPlatformDown = false;
    setNetworkDegraded(false);
    for (Node node : nodes) {
      node.isPaused = false;
      node.isIsolatedFromPlatform = false;
    }
    advance((int) SETTINGS.outageRetirementDelayMs() + 4_000);
    // Crashed daemons stay in the roster until another daemon evicts them.
    Set<DaemonId> running = new HashSet<>();
    nodes.stream()
        .filter(node -> node.isRunning() && !node.hasLeft)
        .forEach(n -> running.add(n.id));
    for (Role role : roles) {
      for (Node node : nodes) {
        boolean shouldHold =
            running.contains(node.id) && role.holders(stored.roster()).contains(node.id);
        assertWithMessage("%s in %s", node.id, role)
            .that(node.view().mayAct(role, node.clockMs()))
            .isEqualTo(shouldHold);
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

  private static int linkId(Node one, Node other) {
    return Math.min(one.number, other.number) * MAX_DAEMONS + Math.max(one.number, other.number);
  }

  private void send(Node from, Node to, Runnable action) {
    if (random.nextDouble() < lossRate || cutLinks.contains(linkId(from, to))) {
      return;
    }
    schedule(to, action);
  }

  private void schedule(Node to, Runnable action) {
    double atMs = nowMs + 1 + random.nextInt(MAX_LATENCY_MS) * latencyFactor;
    network.add(new Delivery(atMs, deliveries++, to, action));
  }
}
