package org.limpetring.entry.port;

/** Result of an order to an engine. */
public enum OrderReply {
  /** The order is complete, or the state was reached already. */
  DONE,
  /** The order is being carried out. */
  BEGUN,
  /** The order conflicts with the engine's state and had no effect. */
  UNFIT,
  /** The engine has seen a newer epoch; the order had no effect. */
  OUTDATED,
  /** Another engine listens at the address; the order had no effect. */
  OTHER_ENGINE,
  /** The order was rejected and had no effect. */
  REFUSED,
  /** Nothing listens at the address; the process is gone. */
  GONE,
  /** No response; the order may have taken effect, or may do so later. */
  UNKNOWN;

  /** Whether the engine accepted the order. */
  public boolean isAccepted() {
    return this == DONE || this == BEGUN;
  }
}
