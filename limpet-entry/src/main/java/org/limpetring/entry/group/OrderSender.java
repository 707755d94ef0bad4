package org.limpetring.entry.group;

import java.util.OptionalLong;
import java.util.function.Consumer;
import org.limpetring.base.Clock;
import org.limpetring.base.LogEvent;
import org.limpetring.entry.DecisionLog;
import org.limpetring.entry.EntryMetrics;
import org.limpetring.entry.model.Upstream;
import org.limpetring.entry.port.EngineControl;
import org.limpetring.entry.port.EngineOrder;
import org.limpetring.entry.port.OrderReply;

/** Sends the planner's orders to engines; logs and counts each reply. */
final class OrderSender {

  /** Several round trips to an engine; an order that takes longer is retried. */
  private static final long ORDER_TIMEOUT_MS = 350;

  private final PlannerRole role;
  private final EngineControl engines;
  private final Clock clock;
  private final DecisionLog log;
  private final EntryMetrics metrics;

  OrderSender(
      PlannerRole role, EngineControl engines, Clock clock, DecisionLog log, EntryMetrics metrics) {
    this.role = role;
    this.engines = engines;
    this.clock = clock;
    this.log = log;
    this.metrics = metrics;
  }

  /** Sends an order; {@code done} receives the reply only if this daemon is still the planner. */
  void send(Upstream engine, EngineOrder order, Consumer<OrderReply> done) {
    send(engine, order, OptionalLong.empty(), done);
  }

  /** As {@link #send(Upstream, EngineOrder, Consumer)}, for an engine that begun so many orders. */
  void send(
      Upstream engine,
      EngineOrder order,
      OptionalLong expectedOrderCount,
      Consumer<OrderReply> done) {
    long sentMs = clock.nowMs();
    engines.order(
        engine,
        order,
        expectedOrderCount,
        ORDER_TIMEOUT_MS,
        reply -> {
          metrics.order(order.label(), reply.name());
          log.write(
              LogEvent.ORDER_ANSWERED,
              "order",
              order.toString(),
              "upstream",
              engine.id(),
              "expected",
              expectedOrderCount.orElse(-1),
              "answer",
              reply.name(),
              "tookMs",
              clock.nowMs() - sentMs,
              "term",
              role.term());
          if (role.isPlanner()) {
            done.accept(reply);
          }
        });
  }
}
