package org.limpetring.groups;

/** Result of an order. */
public sealed interface OrderResult {

  /** The engine took the order; whether it obeyed shows in its report. */
  record Taken() implements OrderResult {}

  /** The engine has seen a higher fencing number. */
  record Fenced(long highestEpoch) implements OrderResult {}

  /** The order may or may not have arrived. */
  record Unknown(String reason) implements OrderResult {}
}
