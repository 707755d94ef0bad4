package org.limpetring.fleet.node;

import static com.google.common.truth.Truth.assertThat;
import static org.awaitility.Awaitility.await;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.limpetring.base.Clock;
import org.limpetring.base.DaemonId;
import org.limpetring.base.FailureDomain;
import org.limpetring.base.ResultCode;
import org.limpetring.fleet.DaemonEntry;
import org.limpetring.fleet.config.NumberedFormat;
import org.limpetring.fleet.gossip.TopicState;
import org.limpetring.peer.PeerAddress;
import org.limpetring.peer.PeerHandler;
import org.limpetring.peer.PeerTransport;
import org.limpetring.peer.proto.Envelope;
import org.limpetring.store.memory.MemoryObjectStore;
import org.limpetring.tables.ConfigKeys;

/** Daemons with real threads, an in-memory store and an in-memory network. */
final class FleetNodeTest {

  private static final int DAEMONS = 3;
  private static final Duration TIMEOUT = Duration.ofSeconds(20);

  private final Map<PeerAddress, FleetNode> network = new ConcurrentHashMap<>();
  private final MemoryObjectStore store = new MemoryObjectStore();
  private final NumberedFormat format = new NumberedFormat();
  private final List<FleetNode> nodes = new ArrayList<>();

  /** Delivers each frame to its receiver synchronously. */
  private final class DirectTransport implements PeerTransport {
    private final DaemonId self;

    DirectTransport(DaemonId self) {
      this.self = self;
    }

    @Override
    public void send(PeerAddress to, Envelope message) {
      FleetNode receiver = network.get(to);
      if (receiver != null) {
        receiver.onFrame(message.toBuilder().setSender(self.value()).build());
      }
    }

    @Override
    public CompletableFuture<Envelope> request(PeerAddress to, Envelope message, long timeoutMs) {
      return CompletableFuture.failedFuture(new UnsupportedOperationException());
    }

    @Override
    public void listen(PeerHandler handler) {}

    @Override
    public void close() {}
  }

  @BeforeEach
  void startDaemons() {
    store.put(ConfigKeys.ROUTES, "1", 0);
    for (int number = 0; number < DAEMONS; number++) {
      DaemonId id = new DaemonId("d" + number);
      FailureDomain domain = new FailureDomain("domain" + number);
      DaemonEntry entry = new DaemonEntry(id, "127.0.0.1", 7000 + number, domain);
      FleetNode node =
          new FleetNode(
              entry,
              FleetSettings.DEFAULT,
              format,
              store,
              new DirectTransport(id),
              Clock.system(),
              number);
      network.put(new PeerAddress("127.0.0.1", 7000 + number), node);
      nodes.add(node);
      node.start();
    }
    await().atMost(TIMEOUT).until(() -> nodes.stream().allMatch(this::isReadyInFullRoster));
  }

  @AfterEach
  void stopDaemons() {
    nodes.forEach(FleetNode::close);
  }

  private boolean isReadyInFullRoster(FleetNode node) {
    FleetView view = node.view();
    return view.roster().daemons().size() == DAEMONS
        && view.isReady(Clock.system().nowMs())
        && view.config().routes().equals(NumberedFormat.table("1"));
  }

  @Test
  void topicReachesPeersAndPlannedStopLeavesRoster() throws Exception {
    CompletableFuture<TopicState> firstDelivery = new CompletableFuture<>();
    nodes.get(2).addTopicListener("poison/", firstDelivery::complete);
    nodes.get(0).gossip(new TopicState("poison/7", 1, new byte[] {1, 2}));
    TopicState state = firstDelivery.get(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
    assertThat(state.topic()).isEqualTo("poison/7");

    nodes.get(1).leave().get(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
    FleetView stopped = nodes.get(1).view();
    assertThat(stopped.refusal(Clock.system().nowMs()).orElseThrow())
        .isEqualTo(ResultCode.STOPPING);
    await().atMost(TIMEOUT).until(() -> nodes.get(0).view().roster().daemons().size() == 2);
  }
}
