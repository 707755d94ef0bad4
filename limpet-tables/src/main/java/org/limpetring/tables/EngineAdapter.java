package org.limpetring.tables;

/** Kind of upstream in a pool; selects the adapter that communicates with it. */
public enum EngineAdapter {
  /** Model engine that streams chat completions and executes orders. */
  CHAT_ENGINE(true),
  /** Plain HTTP service; each host is a separate upstream and accepts no orders. */
  PLAIN_SERVICE(false);

  private final boolean takesOrders;

  EngineAdapter(boolean takesOrders) {
    this.takesOrders = takesOrders;
  }

  /** Whether upstreams of this kind accept orders to form groups. */
  public boolean takesOrders() {
    return takesOrders;
  }
}
