package org.limpetring.entry.port;

import java.util.OptionalLong;
import java.util.function.Consumer;
import org.limpetring.entry.model.Upstream;

/** Client for orders and state queries to model engines; callbacks run on the event loop. */
public interface EngineControl {

  /**
   * Sends an order.
   *
   * @param expectedOrderCount if present, the engine carries the order out, however late, only
   *     while it has begun exactly so many orders; see {@link ReportReply.Received}
   */
  void order(
      Upstream engine,
      EngineOrder order,
      OptionalLong expectedOrderCount,
      long timeoutMs,
      Consumer<OrderReply> done);

  /** Queries the engine's state. */
  void report(Upstream engine, long timeoutMs, Consumer<ReportReply> done);
}
