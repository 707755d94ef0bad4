package org.limpetring.daemon.wiring;

import com.google.inject.AbstractModule;
import com.google.inject.Provides;
import com.google.inject.Singleton;
import org.limpetring.base.Clock;
import org.limpetring.daemon.settings.DaemonSettings;
import org.limpetring.peer.PeerTransport;
import org.limpetring.peer.relay.PlatformCircuitBreaker;
import org.limpetring.peer.relay.PlatformRelay;
import org.limpetring.peer.relay.RelayingObjectStore;
import org.limpetring.store.HostList;
import org.limpetring.store.ObjectStore;
import org.limpetring.store.WeightStore;
import org.limpetring.store.client.BudgetedObjectStore;
import org.limpetring.store.client.CallBudget;
import org.limpetring.store.client.Pause;
import org.limpetring.store.http.HttpHostList;
import org.limpetring.store.http.HttpObjectStore;
import org.limpetring.store.http.HttpPlatformClient;
import org.limpetring.store.http.HttpWeightStore;
import org.limpetring.store.http.PlatformSettings;

/** Bindings for the platform's HTTP API. */
public final class PlatformModule extends AbstractModule {

  private static final int MAX_CALL_BURST = 50;
  private static final int CALLS_PER_SECOND = 50;
  private static final long MAX_BUDGET_WAIT_MS = 1_000;
  private static final long DIRECT_RETRY_INTERVAL_MS = 1_000;
  private static final long RELAY_TIMEOUT_MS = 2_500;

  @Provides
  @Singleton
  HttpPlatformClient client(DaemonSettings settings) {
    return new HttpPlatformClient(PlatformSettings.withDefaults(settings.platformUrl()));
  }

  @Provides
  @Singleton
  BudgetedObjectStore directStore(HttpPlatformClient client, Clock clock) {
    return new BudgetedObjectStore(
        new HttpObjectStore(client),
        new CallBudget(MAX_CALL_BURST, CALLS_PER_SECOND, clock.nowMs()),
        clock,
        Pause.sleeping(),
        MAX_BUDGET_WAIT_MS);
  }

  @Provides
  @Singleton
  PlatformCircuitBreaker circuitBreaker(Clock clock) {
    return new PlatformCircuitBreaker(clock, DIRECT_RETRY_INTERVAL_MS);
  }

  @Provides
  @Singleton
  ObjectStore objectStore(
      BudgetedObjectStore direct,
      PlatformCircuitBreaker circuitBreaker,
      PeerTransport transport,
      RelayPeers relayPeers) {
    return new RelayingObjectStore(
        direct, circuitBreaker, transport, relayPeers::shuffled, RELAY_TIMEOUT_MS);
  }

  @Provides
  @Singleton
  PlatformRelay relay(BudgetedObjectStore direct, PlatformCircuitBreaker circuitBreaker) {
    return new PlatformRelay(direct, circuitBreaker);
  }

  @Provides
  @Singleton
  HostList hostList(HttpPlatformClient client) {
    return new HttpHostList(client);
  }

  @Provides
  @Singleton
  WeightStore weightStore(HttpPlatformClient client) {
    return new HttpWeightStore(client);
  }
}
