package org.limpetring.entry.port;

import java.util.function.Consumer;
import org.limpetring.entry.model.Upstream;

/** Client for orders and state queries to model engines; callbacks run on the event loop. */
public interface EngineControl {

  /** Sends an order. */
  void order(Upstream engine, EngineOrder order, long timeoutMs, Consumer<OrderReply> done);

  /** Queries the engine's state. */
  void report(Upstream engine, long timeoutMs, Consumer<ReportReply> done);
}
