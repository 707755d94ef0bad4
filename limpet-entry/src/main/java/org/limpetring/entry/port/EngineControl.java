package org.limpetring.entry.port;

import java.util.function.Consumer;
import org.limpetring.entry.model.Upstream;

/** Orders and questions to model engines; callbacks run on the event loop. */
public interface EngineControl {

  /** Sends an order. */
  void order(Upstream engine, EngineOrder order, long timeoutMs, Consumer<OrderReply> done);

  /** Asks for the engine's state. */
  void report(Upstream engine, long timeoutMs, Consumer<ReportReply> done);
}
