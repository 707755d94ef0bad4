package org.limpetring.peer;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

/** Metrics of the transport between daemons. */
public final class PeerMetrics {

  /** Rejected frames and connections, by reason. */
  public static final Counter REJECTED =
      Counter.builder()
          .name("limpet_peer_rejected_total")
          .help("Frames and connections of peers refused")
          .labelNames("reason")
          .register(PrometheusRegistry.defaultRegistry);

  /** Messages dropped before sending or handling, by reason. */
  public static final Counter DROPPED =
      Counter.builder()
          .name("limpet_peer_dropped_total")
          .help("Messages between daemons dropped")
          .labelNames("reason")
          .register(PrometheusRegistry.defaultRegistry);

  /** Connection events, by type. */
  public static final Counter CONNECTIONS =
      Counter.builder()
          .name("limpet_peer_connections_total")
          .help("Connections between daemons")
          .labelNames("event")
          .register(PrometheusRegistry.defaultRegistry);

  private PeerMetrics() {}
}
