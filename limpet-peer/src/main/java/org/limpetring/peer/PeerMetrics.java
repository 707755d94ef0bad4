package org.limpetring.peer;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

/** Counters of the transport between daemons. */
public final class PeerMetrics {

  /** Frames and connections refused, by reason. */
  public static final Counter REJECTED =
      Counter.builder()
          .name("limpet_peer_rejected_total")
          .help("Frames and connections of peers refused")
          .labelNames("reason")
          .register(PrometheusRegistry.defaultRegistry);

  /** Messages that were not sent or not handled, by reason. */
  public static final Counter DROPPED =
      Counter.builder()
          .name("limpet_peer_dropped_total")
          .help("Messages between daemons dropped")
          .labelNames("reason")
          .register(PrometheusRegistry.defaultRegistry);

  /** Connections to peers, by what happened to them. */
  public static final Counter CONNECTIONS =
      Counter.builder()
          .name("limpet_peer_connections_total")
          .help("Connections between daemons")
          .labelNames("event")
          .register(PrometheusRegistry.defaultRegistry);

  private PeerMetrics() {}
}
