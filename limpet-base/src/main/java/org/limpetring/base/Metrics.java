package org.limpetring.base;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

/** Counters shared by several libraries; all are in the default Prometheus registry. */
public final class Metrics {

  /** Violated invariants, by name; any value above zero indicates a bug. */
  public static final Counter INVARIANT_VIOLATIONS =
      counter("limpet_invariant_violations_total", "Violated invariants", "invariant");

  /** Requests refused before dispatch, by result code. */
  public static final Counter REFUSALS =
      counter("limpet_refusals_total", "Requests refused before dispatch", "code");

  /** Attempts beyond the first, by reason. */
  public static final Counter RETRIES =
      counter("limpet_retries_total", "Tries beyond the first", "reason");

  /** Completed requests, by result code. */
  public static final Counter REQUESTS = counter("limpet_requests_total", "Requests ended", "code");

  /** Calls to the platform, by kind and result. */
  public static final Counter PLATFORM_CALLS =
      counter("limpet_platform_calls_total", "Calls to the platform", "kind", "result");

  /** Frames between daemons, by message kind and direction. */
  public static final Counter PEER_FRAMES =
      counter("limpet_peer_frames_total", "Frames between daemons", "kind", "direction");

  /** Bytes between daemons, by direction. */
  public static final Counter PEER_BYTES =
      counter("limpet_peer_bytes_total", "Bytes between daemons", "direction");

  private Metrics() {}

  private static Counter counter(String name, String help, String... labels) {
    return Counter.builder()
        .name(name)
        .help(help)
        .labelNames(labels)
        .register(PrometheusRegistry.defaultRegistry);
  }
}
