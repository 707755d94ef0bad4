package org.limpetring.peer.relay;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.awaitility.Awaitility;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.limpetring.base.Clock;
import org.limpetring.base.DaemonId;
import org.limpetring.base.ManualClock;
import org.limpetring.peer.NettyPeerTransport;
import org.limpetring.peer.PeerAddress;
import org.limpetring.peer.PeerSettings;
import org.limpetring.peer.proto.Envelope;
import org.limpetring.store.ListResult;
import org.limpetring.store.ReadResult;
import org.limpetring.store.StoredObject;
import org.limpetring.store.WatchResult;
import org.limpetring.store.WriteResult;
import org.limpetring.store.client.ConditionalWriter;
import org.limpetring.store.client.Pause;
import org.limpetring.store.client.UpdateResult;
import org.limpetring.store.memory.FaultyObjectStore;
import org.limpetring.store.memory.MemoryObjectStore;

class RelayingObjectStoreTest {

  private static final long OPEN_MS = 1_000;
  private static final PeerAddress UNREACHABLE_PEER = new PeerAddress("127.0.0.1", 1);

  private final ManualClock clock = new ManualClock(0);
  private final MemoryObjectStore platform = new MemoryObjectStore();
  private final FaultyObjectStore directStore = new FaultyObjectStore(platform);
  private final FaultyObjectStore relayStore = new FaultyObjectStore(platform);
  private final NettyPeerTransport client = newTransport("a");
  private final List<NettyPeerTransport> transports = new ArrayList<>(List.of(client));

  @AfterEach
  void close() {
    transports.forEach(NettyPeerTransport::close);
  }

  @Test
  void allCallsGoThroughPeerWhileDirectCallsFail() {
    RelayingObjectStore store = newRelayingStore(UNREACHABLE_PEER, startRelayPeer(OPEN_MS));
    directStore.setDown(true);
    assertThat(store.get("p/a")).isEqualTo(new ReadResult.Missing(0));
    assertThat(store.put("p/a", "1", 0)).isEqualTo(new WriteResult.Written(1));
    assertThat(store.put("p/a", "2", 0)).isEqualTo(new WriteResult.Conflict(1));
    StoredObject object = new StoredObject("p/a", "1", 1);
    assertThat(store.get("p/a")).isEqualTo(new ReadResult.Found(object));
    assertThat(store.list("p/")).isEqualTo(new ListResult.Listed(List.of(object), 1));
    assertThat(store.watch("p/", 0, 60_000))
        .isEqualTo(
            new WatchResult.Changes(List.of(new WatchResult.Change("p/a", "1", 1, false)), 1));
    assertThat(store.delete("p/a", 1)).isEqualTo(new WriteResult.Written(2));
    assertThat(directStore.calls()).isEqualTo(1);
  }

  @Test
  void directCallIsRetriedAfterOpenTime() {
    RelayingObjectStore store = newRelayingStore(startRelayPeer(OPEN_MS));
    directStore.setDown(true);
    ReadResult unused = store.get("k");
    // the relayed call has a time limit of its own and may reach the relay after it
    Awaitility.await().until(() -> relayStore.calls() == 1);
    directStore.setDown(false);
    clock.advance(OPEN_MS);
    assertThat(store.get("k")).isEqualTo(new ReadResult.Missing(0));
    assertThat(relayStore.calls()).isEqualTo(1);
  }

  @Test
  void writeWithLostDirectResponseIsNotRelayed() {
    RelayingObjectStore store = newRelayingStore(startRelayPeer(OPEN_MS));
    directStore.loseAnswers(1);
    assertThat(store.put("k", "{}", 0)).isInstanceOf(WriteResult.Unknown.class);
    assertThat(relayStore.calls()).isEqualTo(0);
  }

  @Test
  void writerResolvesUnknownResultWhenRelayResponseIsLost() {
    List<Boolean> wasPut = new ArrayList<>();
    NettyPeerTransport nonRespondingPeer = newTransport("silent");
    transports.add(nonRespondingPeer);
    nonRespondingPeer.listen(
        message -> {
          wasPut.add(message.getPlatformRelayRequest().getKind().name().equals("PUT"));
          Envelope response =
              relayResponse(
                  new PlatformRelay(relayStore, new PlatformCircuitBreaker(clock, 1)), message);
          return wasPut.get(wasPut.size() - 1) ? null : response;
        });
    directStore.setDown(true);
    RelayingObjectStore store =
        newRelayingStore(new PeerAddress("127.0.0.1", nonRespondingPeer.port()));
    ConditionalWriter writer =
        new ConditionalWriter(store, "w", Clock.system(), Pause.sleeping(), 5, 10, 1);
    UpdateResult result = writer.update("k", current -> current == null ? "{}" : null, 5_000);
    assertThat(result).isInstanceOf(UpdateResult.Written.class);
    assertThat(platform.get("k")).isInstanceOf(ReadResult.Found.class);
    assertThat(((UpdateResult.Written) result).version()).isEqualTo(1);
    assertThat(wasPut).containsExactly(false, true, false).inOrder();
  }

  @Test
  void platformOutageIsReportedWithoutExtraCalls() {
    PeerAddress relayPeer = startRelayPeer(OPEN_MS);
    RelayingObjectStore store = newRelayingStore(relayPeer);
    directStore.setDown(true);
    relayStore.setDown(true);
    for (int call = 0; call < 10; call++) {
      assertThat(store.get("k")).isInstanceOf(ReadResult.Unavailable.class);
      assertThat(store.put("k", "{}", 0)).isInstanceOf(WriteResult.Unavailable.class);
    }
    assertThat(directStore.calls()).isEqualTo(1);
    assertThat(relayStore.calls()).isEqualTo(1);
  }

  private RelayingObjectStore newRelayingStore(PeerAddress... peers) {
    return new RelayingObjectStore(
        directStore, new PlatformCircuitBreaker(clock, OPEN_MS), client, () -> List.of(peers), 500);
  }

  private PeerAddress startRelayPeer(long openMs) {
    NettyPeerTransport transport = newTransport("b");
    transports.add(transport);
    PlatformRelay relay = new PlatformRelay(relayStore, new PlatformCircuitBreaker(clock, openMs));
    transport.listen(message -> relayResponse(relay, message));
    return new PeerAddress("127.0.0.1", transport.port());
  }

  private static @Nullable Envelope relayResponse(PlatformRelay relay, Envelope message) {
    return Envelope.newBuilder()
        .setPlatformRelayResponse(relay.execute(message.getPlatformRelayRequest()))
        .build();
  }

  private static NettyPeerTransport newTransport(String name) {
    return new NettyPeerTransport(PeerSettings.withDefaults(new DaemonId(name), "127.0.0.1", 0));
  }
}
