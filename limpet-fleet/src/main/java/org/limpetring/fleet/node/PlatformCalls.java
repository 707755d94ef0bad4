package org.limpetring.fleet.node;

import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.limpetring.base.Clock;
import org.limpetring.fleet.config.JoinRead;
import org.limpetring.fleet.roster.RosterCodec;
import org.limpetring.fleet.roster.RosterEffect;
import org.limpetring.fleet.roster.RosterMachine;
import org.limpetring.fleet.roster.RosterRecord;
import org.limpetring.store.ListResult;
import org.limpetring.store.ObjectStore;
import org.limpetring.store.ReadResult;
import org.limpetring.store.StoredObject;
import org.limpetring.store.WriteResult;
import org.limpetring.tables.ConfigKeys;

/** Makes the platform calls that a fleet machine requests; blocks until they complete. */
final class PlatformCalls {

  private final ObjectStore store;

  PlatformCalls(ObjectStore store) {
    this.store = store;
  }

  /** Result of a call, to be delivered on the machine's thread. */
  @FunctionalInterface
  interface Completion {
    /** Delivers the result to {@code machine}. */
    List<FleetEffect> deliver(FleetMachine machine, long nowMs);
  }

  /** Makes the call requested by {@code effect}; null if the effect is not a platform call. */
  @Nullable Completion run(FleetEffect effect, Clock clock) {
    if (effect instanceof FleetEffect.ReadForJoin) {
      JoinRead read = readForJoin();
      return (machine, nowMs) -> machine.onJoinRead(read, nowMs);
    }
    if (effect instanceof FleetEffect.WriteAccepted accepted) {
      WriteResult result =
          store.put(
              ConfigKeys.ACCEPTED, accepted.write().text(), accepted.write().expectedVersion());
      return (machine, nowMs) -> machine.onAcceptedWritten(accepted.write(), result, nowMs);
    }
    if (effect instanceof FleetEffect.ReadRoster) {
      return readRoster();
    }
    if (effect instanceof FleetEffect.WriteRoster roster) {
      RosterEffect.WriteRoster write = roster.write();
      String text = RosterCodec.write(write.record());
      WriteResult result = store.put(RosterMachine.KEY, text, write.expectedVersion());
      return (machine, nowMs) -> machine.onRosterWritten(write, result, nowMs);
    }
    if (effect instanceof FleetEffect.ReadNewest) {
      return readNewest(clock.nowMs());
    }
    return null;
  }

  private JoinRead readForJoin() {
    ReadResult accepted = store.get(ConfigKeys.ACCEPTED);
    if (accepted instanceof ReadResult.Unavailable unavailable) {
      return new JoinRead.Failed(unavailable.reason());
    }
    StoredObject stored = accepted instanceof ReadResult.Found found ? found.object() : null;
    ListResult tables = store.list(ConfigKeys.TABLES_PREFIX);
    ListResult marks = store.list(ConfigKeys.SERVICE_PREFIX);
    if (tables instanceof ListResult.Listed listedTables
        && marks instanceof ListResult.Listed listedMarks) {
      List<StoredObject> sources = new ArrayList<>(listedTables.objects());
      sources.addAll(listedMarks.objects());
      return new JoinRead.Complete(stored, sources, listedTables.revision());
    }
    return new JoinRead.Failed("listing tables or service marks failed");
  }

  private Completion readRoster() {
    ReadResult read = store.get(RosterMachine.KEY);
    if (read instanceof ReadResult.Unavailable) {
      return (machine, nowMs) -> machine.onRosterRead(null, 0, nowMs);
    }
    if (read instanceof ReadResult.Found found) {
      RosterRecord record = RosterCodec.read(found.object().value()).orElse(null);
      long version = found.object().version();
      return (machine, nowMs) -> machine.onRosterRead(record, version, nowMs);
    }
    return (machine, nowMs) -> machine.onRosterRead(RosterRecord.EMPTY, 0, nowMs);
  }

  private Completion readNewest(long sentAtMs) {
    ReadResult accepted = store.get(ConfigKeys.ACCEPTED);
    ReadResult roster = store.get(RosterMachine.KEY);
    return (machine, nowMs) -> {
      List<FleetEffect> effects = new ArrayList<>();
      for (ReadResult read : List.of(accepted, roster)) {
        if (read instanceof ReadResult.Unavailable) {
          return effects;
        }
        if (read instanceof ReadResult.Found found) {
          StoredObject object = found.object();
          effects.addAll(machine.onStored(object.key(), object.value(), nowMs));
        }
      }
      machine.onPlatformConfirmed(sentAtMs);
      return effects;
    };
  }
}
