package org.limpetring.fleet.config;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;
import org.limpetring.base.DaemonId;
import org.limpetring.base.FailureDomain;
import org.limpetring.fleet.gossip.GossipEffect;
import org.limpetring.fleet.gossip.GossipMachine;
import org.limpetring.fleet.gossip.TopicState;
import org.limpetring.store.ListResult;
import org.limpetring.store.ReadResult;
import org.limpetring.store.StoredObject;
import org.limpetring.store.memory.FaultyObjectStore;
import org.limpetring.store.memory.MemoryObjectStore;
import org.limpetring.tables.AcceptedConfig;
import org.limpetring.tables.ConfigKeys;
import org.limpetring.tables.RouteTable;
import org.limpetring.tables.ServiceMarks;
import org.limpetring.tables.Validation;

/**
 * Configuration machines of several daemons with one store; the oracle is the list of operators'
 * edits.
 */
final class ConfigSimulation {

  static final int DAEMONS = 4;

  private static final String DOMAIN_KEY = ConfigKeys.DOMAIN_PREFIX + "east";

  /** Configuration intended by the operators after one edit. */
  private record DesiredState(RouteTable routes, ServiceMarks marks) {}

  private final NumberedFormat format = new NumberedFormat();
  private final MemoryObjectStore store = new MemoryObjectStore();
  private final FaultyObjectStore faulty = new FaultyObjectStore(store);
  private final List<Node> nodes = new ArrayList<>();
  private final List<DesiredState> history = new ArrayList<>();
  private final TreeMap<Long, Integer> editByGeneration = new TreeMap<>();
  private long nowMs;
  private int edits;
  private long storedGeneration;

  ConfigSimulation() {
    history.add(new DesiredState(RouteTable.EMPTY, ServiceMarks.NONE));
    for (int index = 0; index < DAEMONS; index++) {
      nodes.add(new Node(index));
    }
  }

  /** One daemon; a restart replaces both machines and drops pending work. */
  private final class Node {
    private final int index;
    private final DaemonId id;
    private final ConfigMachine config = new ConfigMachine(format);
    private final GossipMachine gossip;
    private final Deque<Runnable> jobs = new ArrayDeque<>();
    private final Deque<Runnable> messages = new ArrayDeque<>();
    private long seenGeneration;

    Node(int index) {
      this.index = index;
      this.id = new DaemonId("d" + index);
      this.gossip = new GossipMachine(id, index);
      List<DaemonId> all = new ArrayList<>();
      for (int other = 0; other < DAEMONS; other++) {
        all.add(new DaemonId("d" + other));
      }
      gossip.setPeers(all);
      config.setRank(index == DAEMONS - 1 ? ConfigMachine.NOT_AN_ACCEPTOR : index, nowMs);
    }

    void runConfig(List<ConfigEffect> effects) {
      for (ConfigEffect effect : effects) {
        if (effect instanceof ConfigEffect.PutInForce put) {
          byte[] bytes = put.text().getBytes(StandardCharsets.UTF_8);
          runGossip(
              gossip.offer(
                  new TopicState(ConfigKeys.ACCEPTED, put.config().generation(), bytes), null));
        } else if (effect instanceof ConfigEffect.ReadForJoin) {
          jobs.add(this::readAccepted);
        } else if (effect instanceof ConfigEffect.WriteAccepted write) {
          jobs.add(
              () ->
                  runConfig(
                      config.onWritten(
                          write,
                          faulty.put(ConfigKeys.ACCEPTED, write.text(), write.expectedVersion()),
                          nowMs)));
        }
      }
    }

    private void readAccepted() {
      ReadResult read = faulty.get(ConfigKeys.ACCEPTED);
      StoredObject accepted = read instanceof ReadResult.Found found ? found.object() : null;
      boolean failed = read instanceof ReadResult.Unavailable;
      jobs.addFirst(() -> readSources(accepted, failed));
    }

    private void readSources(@Nullable StoredObject accepted, boolean failed) {
      ListResult tables = faulty.list(ConfigKeys.TABLES_PREFIX);
      ListResult marks = faulty.list(ConfigKeys.SERVICE_PREFIX);
      JoinRead read = new JoinRead.Failed("down");
      if (!failed
          && tables instanceof ListResult.Listed listedTables
          && marks instanceof ListResult.Listed listedMarks) {
        List<StoredObject> sources = new ArrayList<>(listedTables.objects());
        sources.addAll(listedMarks.objects());
        read = new JoinRead.Complete(accepted, sources, listedTables.revision());
      }
      runConfig(config.onRead(read, true, nowMs));
    }

    void runGossip(List<GossipEffect> effects) {
      for (GossipEffect effect : effects) {
        if (effect instanceof GossipEffect.Deliver deliver) {
          String text = new String(deliver.state().value(), StandardCharsets.UTF_8);
          runConfig(config.onAccepted(text));
        } else if (effect instanceof GossipEffect.SendNotice send) {
          deliver(send.peer(), to -> to.gossip.onNotice(id, send.versions(), nowMs));
        } else if (effect instanceof GossipEffect.SendAllVersions send) {
          deliver(send.peer(), to -> to.gossip.onAllVersions(id, send.versions(), nowMs));
        } else if (effect instanceof GossipEffect.SendDigest send) {
          deliver(send.peer(), to -> to.gossip.onDigest(id, send.digest()));
        } else if (effect instanceof GossipEffect.SendPull send) {
          deliver(send.peer(), to -> to.gossip.onPull(id, send.topics()));
        } else if (effect instanceof GossipEffect.SendState send) {
          deliver(send.peer(), to -> to.gossip.offer(send.state(), id));
        }
      }
    }

    private void deliver(DaemonId peer, Receiver receiver) {
      int to = Integer.parseInt(peer.value().substring(1));
      nodes.get(to).messages.add(() -> nodes.get(to).runGossip(receiver.receive(nodes.get(to))));
    }
  }

  private interface Receiver {
    List<GossipEffect> receive(Node node);
  }

  void editRoutes(boolean valid) {
    edits++;
    String text = valid ? Integer.toString(edits) : "bad";
    store.put(ConfigKeys.ROUTES, text, version(ConfigKeys.ROUTES));
    DesiredState last = history.get(history.size() - 1);
    history.add(valid ? new DesiredState(NumberedFormat.table(text), last.marks()) : last);
    announce();
  }

  void toggleMark() {
    DesiredState last = history.get(history.size() - 1);
    boolean isOut = version(DOMAIN_KEY) > 0;
    if (isOut) {
      store.delete(DOMAIN_KEY, version(DOMAIN_KEY));
    } else {
      store.put(DOMAIN_KEY, "{\"out\": true}", 0);
    }
    Set<FailureDomain> domains = isOut ? Set.of() : Set.of(new FailureDomain("east"));
    history.add(new DesiredState(last.routes(), new ServiceMarks(domains, Set.of())));
    announce();
  }

  private void announce() {
    for (Node node : nodes) {
      node.config.onSourcesChanged(storeRevision(), nowMs);
    }
  }

  void setPlatformDown(boolean down) {
    faulty.setDown(down);
  }

  void loseNextResponse() {
    faulty.loseAnswers(1);
  }

  void restart(int index) {
    nodes.set(index, new Node(index));
  }

  void dropMessage(int index) {
    nodes.get(index).messages.pollFirst();
  }

  void advance(int index, long stepMs) {
    nowMs += stepMs;
    Node node = nodes.get(index);
    node.runConfig(node.config.onTick(true, nowMs));
    node.runGossip(node.gossip.onTick(nowMs));
  }

  void runJob(int index) {
    run(nodes.get(index).jobs.pollFirst());
  }

  void receive(int index) {
    run(nodes.get(index).messages.pollFirst());
  }

  /** Delivers the state of the next daemon immediately, ahead of all queued messages. */
  void pushState(int index) {
    Node to = nodes.get(index);
    TopicState state = nodes.get((index + 1) % DAEMONS).gossip.state(ConfigKeys.ACCEPTED);
    if (state != null) {
      to.runGossip(to.gossip.offer(state, null));
    }
  }

  private static void run(@Nullable Runnable next) {
    if (next != null) {
      next.run();
    }
  }

  /** Ends all faults and runs all daemons until the newest edit must be in force. */
  void settle() {
    faulty.setDown(false);
    faulty.loseAnswers(0);
    announce();
    for (int round = 0; round < 60; round++) {
      for (int index = 0; index < DAEMONS; index++) {
        advance(index, 250);
      }
      for (int turn = 0; turn < 40; turn++) {
        for (int index = 0; index < DAEMONS; index++) {
          runJob(index);
          receive(index);
        }
      }
      check();
    }
    DesiredState last = history.get(history.size() - 1);
    for (Node node : nodes) {
      AcceptedConfig config = node.config.inForce();
      assertWithMessage("daemon %s", node.index).that(config.marks()).isEqualTo(last.marks());
      assertThat(config.generation()).isEqualTo(storedGeneration);
      assertThat(history.stream().map(DesiredState::routes).toList()).contains(config.routes());
    }
    boolean lastTableIsValid = !"bad".equals(value(ConfigKeys.ROUTES));
    if (lastTableIsValid) {
      assertThat(nodes.get(0).config.inForce().routes()).isEqualTo(last.routes());
    }
  }

  /**
   * Safety, checked after every step: generations increase, each identifies one content, and edits
   * are never undone.
   */
  void check() {
    if (store.get(ConfigKeys.ACCEPTED) instanceof ReadResult.Found found) {
      AcceptedConfig stored = decode(found.object().value());
      assertThat(stored.generation()).isAtLeast(storedGeneration);
      storedGeneration = stored.generation();
    }
    for (Node node : nodes) {
      AcceptedConfig config = node.config.inForce();
      assertThat(config.generation()).isAtLeast(node.seenGeneration);
      assertThat(config.generation()).isAtMost(storedGeneration);
      node.seenGeneration = config.generation();
      if (config.generation() > 0) {
        checkContent(config);
      }
    }
  }

  private void checkContent(AcceptedConfig config) {
    int edit = firstEditWith(config.routes());
    assertThat(edit).isAtLeast(0);
    Integer known = editByGeneration.putIfAbsent(config.generation(), edit);
    if (known != null) {
      assertThat(edit).isEqualTo(known);
    }
    assertWithMessage("edits by generation %s", editByGeneration)
        .that(editByGeneration.values())
        .isInOrder();
  }

  private int firstEditWith(RouteTable routes) {
    return history.stream().map(DesiredState::routes).toList().indexOf(routes);
  }

  private AcceptedConfig decode(String text) {
    return ((Validation.Valid<AcceptedConfig>) format.read(text)).value();
  }

  private long version(String key) {
    return store.get(key) instanceof ReadResult.Found found ? found.object().version() : 0;
  }

  private @Nullable String value(String key) {
    return store.get(key) instanceof ReadResult.Found found ? found.object().value() : null;
  }

  private long storeRevision() {
    return ((ListResult.Listed) store.list("none/")).revision();
  }
}
