package org.limpetring.peer.relay;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
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

  private static final long RETRY_MS = 1_000;
  private static final PeerAddress NOBODY = new PeerAddress("127.0.0.1", 1);

  private final ManualClock clock = new ManualClock(0);
  private final MemoryObjectStore memory = new MemoryObjectStore();
  private final FaultyObjectStore own = new FaultyObjectStore(memory);
  private final FaultyObjectStore carriers = new FaultyObjectStore(memory);
  private final NettyPeerTransport asking = transport("a");
  private final List<NettyPeerTransport> open = new ArrayList<>(List.of(asking));

  @AfterEach
  void close() {
    open.forEach(NettyPeerTransport::close);
  }

  @Test
  void everyCallGoesThroughAPeerWhileTheOwnWayIsBroken() {
    RelayingObjectStore store = relaying(NOBODY, carrier(RETRY_MS));
    own.setDown(true);
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
    assertThat(own.calls()).isEqualTo(1);
  }

  @Test
  void ownWayIsTriedAgainAfterTheRetryTime() {
    RelayingObjectStore store = relaying(carrier(RETRY_MS));
    own.setDown(true);
    ReadResult unused = store.get("k");
    own.setDown(false);
    clock.advance(RETRY_MS);
    long before = carriers.calls();
    assertThat(store.get("k")).isEqualTo(new ReadResult.Missing(0));
    assertThat(carriers.calls()).isEqualTo(before);
  }

  @Test
  void lostAnswerOfTheOwnWayIsNotSentASecondTime() {
    RelayingObjectStore store = relaying(carrier(RETRY_MS));
    own.loseAnswers(1);
    assertThat(store.put("k", "{}", 0)).isInstanceOf(WriteResult.Unknown.class);
    assertThat(carriers.calls()).isEqualTo(0);
  }

  @Test
  void carrierThatEndsAfterTheWriteLeavesItUnknownAndTheWriterSettlesIt() {
    List<Boolean> carried = new ArrayList<>();
    NettyPeerTransport silent = transport("silent");
    open.add(silent);
    silent.listen(
        message -> {
          carried.add(message.getPlatformRelayRequest().getKind().name().equals("PUT"));
          Envelope answer =
              answer(new PlatformRelay(carriers, new PlatformCircuitBreaker(clock, 1)), message);
          return carried.get(carried.size() - 1) ? null : answer;
        });
    own.setDown(true);
    RelayingObjectStore store = relaying(new PeerAddress("127.0.0.1", silent.port()));
    ConditionalWriter writer =
        new ConditionalWriter(store, "w", Clock.system(), Pause.sleeping(), 5, 10, 1);
    UpdateResult result = writer.update("k", current -> current == null ? "{}" : null, 5_000);
    assertThat(result).isInstanceOf(UpdateResult.Written.class);
    assertThat(memory.get("k")).isInstanceOf(ReadResult.Found.class);
    assertThat(((UpdateResult.Written) result).version()).isEqualTo(1);
    assertThat(carried).containsExactly(false, true, false).inOrder();
  }

  @Test
  void outageForEveryoneIsToldAndNotMultiplied() {
    PeerAddress carrier = carrier(RETRY_MS);
    RelayingObjectStore store = relaying(carrier);
    own.setDown(true);
    carriers.setDown(true);
    for (int call = 0; call < 10; call++) {
      assertThat(store.get("k")).isInstanceOf(ReadResult.Unavailable.class);
      assertThat(store.put("k", "{}", 0)).isInstanceOf(WriteResult.Unavailable.class);
    }
    assertThat(own.calls()).isEqualTo(1);
    assertThat(carriers.calls()).isEqualTo(1);
  }

  private RelayingObjectStore relaying(PeerAddress... peers) {
    return new RelayingObjectStore(
        own, new PlatformCircuitBreaker(clock, RETRY_MS), asking, () -> List.of(peers), 500);
  }

  private PeerAddress carrier(long retryMs) {
    NettyPeerTransport transport = transport("b");
    open.add(transport);
    PlatformRelay relay = new PlatformRelay(carriers, new PlatformCircuitBreaker(clock, retryMs));
    transport.listen(message -> answer(relay, message));
    return new PeerAddress("127.0.0.1", transport.port());
  }

  private static @Nullable Envelope answer(PlatformRelay relay, Envelope message) {
    return Envelope.newBuilder()
        .setPlatformRelayResponse(relay.execute(message.getPlatformRelayRequest()))
        .build();
  }

  private static NettyPeerTransport transport(String name) {
    return new NettyPeerTransport(PeerSettings.withDefaults(new DaemonId(name), "127.0.0.1", 0));
  }
}
