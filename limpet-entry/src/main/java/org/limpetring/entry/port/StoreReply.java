package org.limpetring.entry.port;

import org.jspecify.annotations.Nullable;

/** Result of a call to the platform's store. */
public sealed interface StoreReply<T> {

  /** The call succeeded. */
  record Ok<T>(T value) implements StoreReply<T> {}

  /** No object of that name exists. */
  record Missing<T>() implements StoreReply<T> {}

  /** The object exists already, or its revision differs; the call had no effect. */
  record Conflict<T>() implements StoreReply<T> {}

  /** The history after the revision was compacted; the objects have to be listed again. */
  record HistoryGone<T>() implements StoreReply<T> {}

  /** The store rejected the call, which had no effect. */
  record Refused<T>(String reason) implements StoreReply<T> {}

  /** No readable response; the call may have taken effect, or may do so later. */
  record Unknown<T>(String reason) implements StoreReply<T> {}

  /** Returns the value of an {@link Ok}, or null. */
  default @Nullable T valueOrNull() {
    return this instanceof Ok<T> ok ? ok.value() : null;
  }

  /** Returns a short description for logs. */
  default String describe() {
    if (this instanceof Refused<T> refused) {
      return "refused: " + refused.reason();
    }
    if (this instanceof Unknown<T> unknown) {
      return "no answer: " + unknown.reason();
    }
    return getClass().getSimpleName();
  }
}
