package org.limpetring.entry.port;

import org.jspecify.annotations.Nullable;

/** How a call to the platform's store ended. */
public sealed interface StoreReply<T> {

  /** The call was carried out. */
  record Ok<T>(T value) implements StoreReply<T> {}

  /** No object of that name exists. */
  record Missing<T>() implements StoreReply<T> {}

  /** The object exists already, or its revision differs; nothing was done. */
  record Conflict<T>() implements StoreReply<T> {}

  /** The history after the revision is gone; the kind has to be listed anew. */
  record HistoryGone<T>() implements StoreReply<T> {}

  /** The store turned the call away; nothing was done. */
  record Refused<T>(String reason) implements StoreReply<T> {}

  /** No answer that could be read; the call may have been carried out, or may be later. */
  record Unknown<T>(String reason) implements StoreReply<T> {}

  /** The value of an {@link Ok}, else null. */
  default @Nullable T valueOrNull() {
    return this instanceof Ok<T> ok ? ok.value() : null;
  }

  /** Short text for logs. */
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
