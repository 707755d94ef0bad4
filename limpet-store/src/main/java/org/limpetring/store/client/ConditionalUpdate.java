package org.limpetring.store.client;

import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.limpetring.store.ReadResult;
import org.limpetring.store.StoredObject;
import org.limpetring.store.WriteResult;

/**
 * Decides the steps of one read-modify-write of an object that is never deleted.
 *
 * <p>A write whose answer was lost is settled before anything else is tried: while its base version
 * stands, the same write is repeated, of which only one can take effect; once the base version has
 * been replaced, the stamps of the new value tell who replaced it. Not thread-safe.
 */
final class ConditionalUpdate {

  /** What the runner has to do next. */
  sealed interface Step {

    /** Read the object and report the result. */
    record Read() implements Step {}

    /** Write the object and report the result. */
    record Put(String value, long expectedVersion) implements Step {}

    /** Pause, then read. */
    record PauseThenRead(String reason) implements Step {}

    /** The update has ended. */
    record Done(UpdateResult result) implements Step {}
  }

  private record Pending(WriteStamps.Stamp stamp, String value) {}

  private final ObjectChange change;
  private final Supplier<String> attempts;
  private @Nullable Pending pending;
  private boolean inDoubt;

  /** Takes a new unique name from {@code attempts} for each version that the change is tried on. */
  ConditionalUpdate(ObjectChange change, Supplier<String> attempts) {
    this.change = change;
    this.attempts = attempts;
  }

  /** Decides after a read. */
  Step onRead(ReadResult result) {
    if (result instanceof ReadResult.Unavailable unavailable) {
      return new Step.PauseThenRead(unavailable.reason());
    }
    @Nullable StoredObject current =
        result instanceof ReadResult.Found found ? found.object() : null;
    if (inDoubt && pending != null) {
      return settle(pending, current);
    }
    return propose(current);
  }

  /** Decides after the write of the last {@link Step.Put}. */
  Step onWrite(WriteResult result) {
    if (result instanceof WriteResult.Written written && pending != null) {
      return new Step.Done(new UpdateResult.Written(written.version(), pending.value()));
    }
    if (result instanceof WriteResult.Unavailable unavailable) {
      return new Step.PauseThenRead(unavailable.reason());
    }
    if (result instanceof WriteResult.Unknown unknown) {
      inDoubt = true;
      return new Step.PauseThenRead(unknown.reason());
    }
    return new Step.Read();
  }

  /** Ends the update before it has succeeded. */
  UpdateResult onDeadline(String reason) {
    return inDoubt ? new UpdateResult.Unknown(reason) : new UpdateResult.NotWritten(reason);
  }

  private Step settle(Pending doubtful, @Nullable StoredObject current) {
    long version = current == null ? 0 : current.version();
    long baseVersion = doubtful.stamp().baseVersion();
    if (version == baseVersion) {
      return new Step.Put(doubtful.value(), baseVersion);
    }
    if (current == null || version < baseVersion) {
      return new Step.Done(new UpdateResult.Unknown("object deleted or read from the past"));
    }
    WriteStamps stamps = StampedJson.read(current.value());
    return switch (stamps.fateOf(doubtful.stamp())) {
      case TOOK_EFFECT ->
          new Step.Done(
              new UpdateResult.Written(
                  stamps.versionOf(doubtful.stamp(), version), doubtful.value()));
      case LOST -> {
        inDoubt = false;
        yield propose(current);
      }
      case FORGOTTEN -> new Step.Done(new UpdateResult.Unknown("too many writes since"));
    };
  }

  private Step propose(@Nullable StoredObject current) {
    long version = current == null ? 0 : current.version();
    @Nullable String proposed = change.apply(current);
    if (proposed == null) {
      return new Step.Done(new UpdateResult.Unchanged(version));
    }
    WriteStamps.Stamp stamp = new WriteStamps.Stamp(attempts.get(), version);
    WriteStamps known = current == null ? WriteStamps.NONE : StampedJson.read(current.value());
    String value = StampedJson.write(proposed, known.with(stamp));
    pending = new Pending(stamp, value);
    return new Step.Put(value, version);
  }
}
