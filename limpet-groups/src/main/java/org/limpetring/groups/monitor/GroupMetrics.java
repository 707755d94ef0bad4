package org.limpetring.groups.monitor;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

/** Counters of group formation, orders and monitoring. */
public final class GroupMetrics {

  /** Groups that stopped serving, as observed by this daemon. */
  public static final Counter CLOSURES =
      counter("limpet_group_closures_total", "Groups that stopped serving");

  /** Upstreams found to have applied a stale order. */
  public static final Counter STALE_ORDERS =
      counter("limpet_stale_orders_found_total", "Upstreams that obeyed a stale order");

  /** Orders by kind and result. */
  public static final Counter ORDERS =
      counter("limpet_orders_total", "Orders to upstreams", "kind", "result");

  /** Plan writes by result. */
  public static final Counter PLAN_WRITES =
      counter("limpet_plan_writes_total", "Writes of plans", "result");

  /** Rounds of orders aborted before sending, by reason. */
  public static final Counter ORDERS_WITHHELD =
      counter("limpet_orders_withheld_total", "Rounds of orders withheld", "reason");

  private GroupMetrics() {}

  private static Counter counter(String name, String help, String... labels) {
    return Counter.builder()
        .name(name)
        .help(help)
        .labelNames(labels)
        .register(PrometheusRegistry.defaultRegistry);
  }
}
