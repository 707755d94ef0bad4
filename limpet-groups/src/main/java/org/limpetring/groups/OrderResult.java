package org.limpetring.groups;

/** Result of an order. */
public sealed interface OrderResult {

  /** The engine accepted the order; its next reports show whether it was applied. */
  record Taken() implements OrderResult {}

  /** The engine rejected the order because it has seen a higher fencing token. */
  record Fenced(long highestEpoch) implements OrderResult {}

  /** The outcome is unknown: the order may or may not have arrived. */
  record Unknown(String reason) implements OrderResult {}
}
