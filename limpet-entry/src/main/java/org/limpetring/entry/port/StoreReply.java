package org.limpetring.entry.port;

import org.jspecify.annotations.Nullable;

/** Result of a call to the platform's store. */
public sealed interface StoreReply<T> {

  /** Era of a call without a response. */
  long NO_ERA = -1;

  /** Era of the store that sent the response; {@link #NO_ERA} if there was none. */
  long era();

  /** The call succeeded. */
  record Ok<T>(T value, long era) implements StoreReply<T> {

    /** Reply of a store that names no era. */
    public Ok(T value) {
      this(value, 0);
    }
  }

  /** No object of that name exists. */
  record Missing<T>(long era) implements StoreReply<T> {

    /** Reply of a store that names no era. */
    public Missing() {
      this(0);
    }
  }

  /** The object exists already, or its revision differs; the call had no effect. */
  record Conflict<T>(long era) implements StoreReply<T> {

    /** Reply of a store that names no era. */
    public Conflict() {
      this(0);
    }
  }

  /** The history after the revision was compacted; the objects have to be listed again. */
  record HistoryGone<T>(long era) implements StoreReply<T> {

    /** Reply of a store that names no era. */
    public HistoryGone() {
      this(0);
    }
  }

  /** The store rejected the call, which had no effect. */
  record Refused<T>(String reason, long era) implements StoreReply<T> {

    /** The call did not reach the store. */
    public Refused(String reason) {
      this(reason, NO_ERA);
    }
  }

  /** No readable response; the call may have taken effect, or may do so later. */
  record Unknown<T>(String reason, long era) implements StoreReply<T> {

    /** There was no response. */
    public Unknown(String reason) {
      this(reason, NO_ERA);
    }
  }

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
