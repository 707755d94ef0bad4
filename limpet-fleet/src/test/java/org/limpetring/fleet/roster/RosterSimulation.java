package org.limpetring.fleet.roster;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.limpetring.base.DaemonId;
import org.limpetring.base.FailureDomain;
import org.limpetring.fleet.DaemonEntry;
import org.limpetring.store.ReadResult;
import org.limpetring.store.WriteResult;
import org.limpetring.store.memory.FaultyObjectStore;
import org.limpetring.store.memory.MemoryObjectStore;

/** Roster machines with one store; the oracle is the set of daemons that should be listed. */
final class RosterSimulation {

  private static final int TICK_MS = 100;
  private static final int REPORT_INTERVAL_MS = 1_000;

  private final MemoryObjectStore store = new MemoryObjectStore();
  private final FaultyObjectStore faulty = new FaultyObjectStore(store);
  private final TreeMap<DaemonId, Node> nodes = new TreeMap<>();
  private final Set<DaemonId> expected = new TreeSet<>();
  private final Set<DaemonId> crashedIds = new TreeSet<>();
  private RosterRecord lastStored = RosterRecord.EMPTY;
  private final List<RosterRecord> history = new ArrayList<>(List.of(RosterRecord.EMPTY));
  private long nowMs;
  private int started;
  private int writes;

  private static final class Node {
    private final RosterMachine machine;
    private final Deque<Runnable> jobs = new ArrayDeque<>();

    Node(DaemonId id) {
      machine = new RosterMachine(id);
    }
  }

  DaemonId start() {
    DaemonId id = new DaemonId("d%04d".formatted(started++));
    Node node = new Node(id);
    nodes.put(id, node);
    expected.add(id);
    DaemonEntry entry = new DaemonEntry(id, "127.0.0.1", 1, new FailureDomain("a"));
    node.machine.onRecord(lastStored);
    node.machine.requestJoin(entry, nowMs);
    for (DaemonId writer : node.machine.writers()) {
      if (nodes.containsKey(writer)) {
        nodes.get(writer).machine.requestJoin(entry, nowMs);
      }
    }
    return id;
  }

  /** Crashes {@code crashed}; all other daemons report them as lost once they are in the roster. */
  void crash(List<DaemonId> crashed) {
    crashed.forEach(nodes::remove);
    expected.removeAll(crashed);
    crashedIds.addAll(crashed);
  }

  void stop(DaemonId id) {
    Node leaving = nodes.get(id);
    if (leaving == null) {
      return;
    }
    expected.remove(id);
    leaving.machine.requestLeave(id, nowMs);
    for (DaemonId writer : leaving.machine.writers()) {
      if (nodes.containsKey(writer)) {
        nodes.get(writer).machine.requestLeave(id, nowMs);
      }
    }
  }

  /** Number of running daemons that are not stopping. */
  int remainingCount() {
    return expected.size();
  }

  List<DaemonId> running() {
    return List.copyOf(nodes.keySet());
  }

  FaultyObjectStore faults() {
    return faulty;
  }

  int writes() {
    return writes;
  }

  RosterRecord stored() {
    return lastStored;
  }

  /**
   * Advances time; {@code isGossipDelivered} selects whether daemons receive each newly stored
   * roster.
   */
  void advance(int ms, boolean isGossipDelivered) {
    for (int passed = 0; passed < ms; passed += TICK_MS) {
      nowMs += TICK_MS;
      for (Node node : List.copyOf(nodes.values())) {
        Runnable job = node.jobs.pollFirst();
        if (job != null) {
          job.run();
          check();
          assertThat(history).contains(node.machine.record());
        }
        if (nowMs % REPORT_INTERVAL_MS == 0) {
          reportCrashed(node);
        }
        run(node, node.machine.onTick(nowMs));
        if (isGossipDelivered) {
          run(node, node.machine.onRecord(lastStored));
        }
      }
      if (isGossipDelivered) {
        nodes.keySet().removeIf(id -> !expected.contains(id) && !lastStored.roster().contains(id));
      }
    }
  }

  private void reportCrashed(Node node) {
    for (DaemonId daemon : crashedIds) {
      node.machine.requestEviction(daemon, nowMs);
    }
  }

  private void run(Node node, List<RosterEffect> effects) {
    for (RosterEffect effect : effects) {
      if (effect instanceof RosterEffect.ReadRoster) {
        ReadResult read = faulty.get(RosterMachine.KEY);
        node.jobs.add(() -> finishRead(node, read));
      } else if (effect instanceof RosterEffect.WriteRoster write) {
        node.jobs.add(() -> finishWrite(node, write));
      }
    }
  }

  private void finishRead(Node node, ReadResult read) {
    if (read instanceof ReadResult.Unavailable) {
      node.machine.onReadFailed(nowMs);
      return;
    }
    RosterRecord stored = RosterRecord.EMPTY;
    long version = 0;
    if (read instanceof ReadResult.Found found) {
      stored = RosterCodec.read(found.object().value()).orElseThrow();
      version = found.object().version();
    }
    run(node, node.machine.onRead(stored, version, true, 0, nowMs));
  }

  private void finishWrite(Node node, RosterEffect.WriteRoster write) {
    writes++;
    WriteResult result =
        faulty.put(RosterMachine.KEY, RosterCodec.write(write.record()), write.expectedVersion());
    run(node, node.machine.onWritten(write, result, nowMs));
  }

  /**
   * Checks that each stored roster differs from the previous one by exactly the change it lists,
   * and that one change never evicts more than half of the roster.
   */
  private void check() {
    if (!(store.get(RosterMachine.KEY) instanceof ReadResult.Found found)) {
      return;
    }
    RosterRecord stored = RosterCodec.read(found.object().value()).orElseThrow();
    if (stored.equals(lastStored)) {
      return;
    }
    assertThat(stored.epoch()).isEqualTo(lastStored.epoch() + 1);
    assertThat(stored.membersAt(lastStored.epoch()))
        .containsExactlyElementsIn(lastStored.roster().ids());
    RosterChange change = stored.changes().get(stored.changes().size() - 1);
    assertThat(change.evicted().size() * 2).isAtMost(lastStored.roster().daemons().size());
    lastStored = stored;
    history.add(stored);
  }

  void settle() {
    faulty.setDown(false);
    faulty.loseAnswers(0);
    advance(15_000, true);
    assertThat(lastStored.roster().ids()).containsExactlyElementsIn(new ArrayList<>(expected));
  }
}
