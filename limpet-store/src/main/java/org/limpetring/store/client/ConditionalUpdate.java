package org.limpetring.store.client;

import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.limpetring.store.ReadResult;
import org.limpetring.store.StoredObject;
import org.limpetring.store.WriteResult;

/**
 * State machine of one read-modify-write of an object that is never deleted.
 *
 * <p>A write whose response was lost is resolved before the change is computed again. While its
 * base version is current, the same write is retried, as at most one copy can take effect. Once the
 * base version has been replaced, the stamps of the new value identify the write that replaced it.
 * Not thread-safe.
 */
final class ConditionalUpdate {

  /** Next action for the caller. */
  sealed interface Step {

    /** Read the object and pass the result to {@link #onRead}. */
    record Read() implements Step {}

    /** Write the object and pass the result to {@link #onWrite}. */
    record Put(String value, long expectedVersion) implements Step {}

    /** Pause, then read as for {@link Read}. */
    record PauseThenRead(String reason) implements Step {}

    /** The update is complete. */
    record Done(UpdateResult result) implements Step {}
  }

  private record PendingWrite(WriteStamps.Stamp stamp, String value) {}

  private final ObjectChange change;
  private final Supplier<String> attemptIds;
  private @Nullable PendingWrite pending;
  private boolean outcomeUnknown;

  /**
   * Creates an update that takes a new unique id from {@code attemptIds} for each version that the
   * change is applied to.
   */
  ConditionalUpdate(ObjectChange change, Supplier<String> attemptIds) {
    this.change = change;
    this.attemptIds = attemptIds;
  }

  /** Returns the next step after a read. */
  Step onRead(ReadResult result) {
    if (result instanceof ReadResult.Unavailable unavailable) {
      return new Step.PauseThenRead(unavailable.reason());
    }
    @Nullable StoredObject current =
        result instanceof ReadResult.Found found ? found.object() : null;
    if (outcomeUnknown && pending != null) {
      return resolvePending(pending, current);
    }
    return propose(current);
  }

  /** Returns the next step after the write of the last {@link Step.Put}. */
  Step onWrite(WriteResult result) {
    if (result instanceof WriteResult.Written written && pending != null) {
      return new Step.Done(new UpdateResult.Written(written.version(), pending.value()));
    }
    if (result instanceof WriteResult.Unavailable unavailable) {
      return new Step.PauseThenRead(unavailable.reason());
    }
    if (result instanceof WriteResult.Unknown unknown) {
      outcomeUnknown = true;
      return new Step.PauseThenRead(unknown.reason());
    }
    return new Step.Read();
  }

  /** Ends the update at its deadline, before it has succeeded. */
  UpdateResult onDeadline(String reason) {
    return outcomeUnknown ? new UpdateResult.Unknown(reason) : new UpdateResult.NotWritten(reason);
  }

  private Step resolvePending(PendingWrite unresolved, @Nullable StoredObject current) {
    long version = current == null ? 0 : current.version();
    long baseVersion = unresolved.stamp().baseVersion();
    if (version == baseVersion) {
      return new Step.Put(unresolved.value(), baseVersion);
    }
    if (current == null || version < baseVersion) {
      return new Step.Done(new UpdateResult.Unknown("object deleted, or stale read"));
    }
    WriteStamps stamps = StampedJson.read(current.value());
    return switch (stamps.outcomeOf(unresolved.stamp())) {
      case APPLIED ->
          new Step.Done(
              new UpdateResult.Written(
                  stamps.versionOf(unresolved.stamp(), version), unresolved.value()));
      case LOST -> {
        outcomeUnknown = false;
        yield propose(current);
      }
      case NOT_RECORDED ->
          new Step.Done(new UpdateResult.Unknown("too many later writes to determine the outcome"));
    };
  }

  private Step propose(@Nullable StoredObject current) {
    long version = current == null ? 0 : current.version();
    @Nullable String proposed = change.apply(current);
    if (proposed == null) {
      return new Step.Done(new UpdateResult.Unchanged(version));
    }
    WriteStamps.Stamp stamp = new WriteStamps.Stamp(attemptIds.get(), version);
    WriteStamps previousStamps =
        current == null ? WriteStamps.NONE : StampedJson.read(current.value());
    String value = StampedJson.write(proposed, previousStamps.with(stamp));
    pending = new PendingWrite(stamp, value);
    return new Step.Put(value, version);
  }
}
