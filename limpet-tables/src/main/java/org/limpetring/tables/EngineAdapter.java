package org.limpetring.tables;

/** Kind of upstream that a pool holds; selects the adapter that talks to it. */
public enum EngineAdapter {
  /** Model engine that streams chat completions and obeys orders. */
  CHAT_ENGINE(true),
  /** Plain HTTP service; each host is an upstream of its own and takes no orders. */
  PLAIN_SERVICE(false);

  private final boolean takesOrders;

  EngineAdapter(boolean takesOrders) {
    this.takesOrders = takesOrders;
  }

  /** Whether upstreams of this kind form groups on order. */
  public boolean takesOrders() {
    return takesOrders;
  }
}
