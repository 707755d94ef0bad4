package org.limpetring.entry.port;

/** How an engine took an order. */
public enum OrderReply {
  /** The state holds already, or the order is done. */
  DONE,
  /** The order has begun. */
  BEGUN,
  /** The order does not fit the engine's state; nothing was done. */
  UNFIT,
  /** The engine has seen a newer epoch; nothing was done. */
  OUTDATED,
  /** Another engine has the address; nothing was done. */
  OTHER_ENGINE,
  /** Turned away; nothing was done. */
  REFUSED,
  /** Nothing listens at the address; the process is gone. */
  GONE,
  /** No answer; the order may have been taken, or may be carried out later. */
  UNKNOWN;

  /** Whether the engine obeys. */
  public boolean isAccepted() {
    return this == DONE || this == BEGUN;
  }
}
