package org.limpetring.fleet.roster;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.limpetring.base.DaemonId;
import org.limpetring.base.Invariant;
import org.limpetring.base.Rendezvous;
import org.limpetring.fleet.DaemonEntry;
import org.limpetring.fleet.Roster;
import org.limpetring.store.WriteResult;

/**
 * Decides when this daemon writes the roster and what it writes.
 *
 * <p>Requests to join, leave and evict are batched, so the loss of many daemons takes few writes.
 * Every daemon may write: each waits for a delay that grows with its rank and writes nothing if
 * another daemon has fulfilled its requests by then. One write always evicts fewer than half of the
 * roster, and only a daemon in contact with a majority of the roster evicts.
 */
public final class RosterMachine {

  /** Key of the stored object and name of its gossip topic. */
  public static final String KEY = "roster";

  /** Delay during which requests are batched. */
  public static final long BATCH_DELAY_MS = 300;

  /** Additional delay of each writer over the one ranked before it. */
  public static final long WRITER_DELAY_STEP_MS = 500;

  /** Highest rank that adds to the delay; higher ranks wait as long as this one. */
  public static final int MAX_RANK = 4;

  /** Shortest interval between two writes of one daemon. */
  public static final long MIN_WRITE_INTERVAL_MS = 1_000;

  private static final long NEVER_MS = Long.MAX_VALUE;

  private final DaemonId self;
  private final TreeMap<DaemonId, DaemonEntry> pendingJoins = new TreeMap<>();
  private final Set<DaemonId> pendingLeaves = new TreeSet<>();
  private final Set<DaemonId> pendingEvictions = new TreeSet<>();
  private RosterRecord record = RosterRecord.EMPTY;
  private boolean isWriteRunning;
  private long writeDueMs = NEVER_MS;
  private long writeAllowedMs;

  /** Creates a machine that has not received a roster yet. */
  public RosterMachine(DaemonId self) {
    this.self = self;
  }

  /** The newest roster known to this daemon. */
  public RosterRecord record() {
    return record;
  }

  /** Requests that {@code entry} be added. */
  public void requestJoin(DaemonEntry entry, long nowMs) {
    if (!record.roster().contains(entry.id())) {
      pendingJoins.put(entry.id(), entry);
      schedule(nowMs);
    }
  }

  /** Requests the removal of {@code daemon}, which has stopped acting. */
  public void requestLeave(DaemonId daemon, long nowMs) {
    pendingJoins.remove(daemon);
    pendingLeaves.add(daemon);
    schedule(nowMs);
  }

  /** Requests the removal of the unreachable {@code daemon}. */
  public void requestEviction(DaemonId daemon, long nowMs) {
    if (record.roster().contains(daemon)) {
      pendingEvictions.add(daemon);
      schedule(nowMs);
    }
  }

  /** Cancels the request to evict {@code daemon}. */
  public void cancelEviction(DaemonId daemon) {
    pendingEvictions.remove(daemon);
  }

  /** The daemons that write first; other daemons send their requests to them. */
  public List<DaemonId> writers() {
    return Rendezvous.owners(KEY, candidates(), MAX_RANK);
  }

  /** Whether a write would start at {@code nowMs}. */
  public boolean isDue(long nowMs) {
    return !isWriteRunning && nowMs >= writeDueMs && nowMs >= writeAllowedMs;
  }

  /** Starts the write if it is due. */
  public List<RosterEffect> onTick(long nowMs) {
    if (!isDue(nowMs)) {
      return List.of();
    }
    isWriteRunning = true;
    writeDueMs = NEVER_MS;
    return List.of(new RosterEffect.ReadRoster());
  }

  /** Processes a roster received from the platform or from a peer. */
  public List<RosterEffect> onRecord(RosterRecord newer) {
    if (newer.epoch() <= record.epoch()) {
      return List.of();
    }
    boolean wasMember = record.roster().contains(self);
    record = newer;
    removeFulfilledRequests();
    List<RosterEffect> effects = new ArrayList<>();
    effects.add(new RosterEffect.Adopt(newer));
    if (wasMember && !newer.roster().contains(self) && !pendingLeaves.contains(self)) {
      effects.add(new RosterEffect.Evicted(self));
    }
    return effects;
  }

  /**
   * Processes the result of {@link RosterEffect.ReadRoster} and writes the remaining requests.
   *
   * @param stored record in the platform, {@link RosterRecord#EMPTY} if there is none
   * @param version version of the object, 0 if there is none
   * @param hasMajorityContact whether this daemon is in contact with a majority of the roster
   * @param retiredEpoch newest epoch known to be retired together with all before it
   */
  public List<RosterEffect> onRead(
      RosterRecord stored,
      long version,
      boolean hasMajorityContact,
      long retiredEpoch,
      long nowMs) {
    List<RosterEffect> effects = new ArrayList<>(onRecord(stored));
    if (stored.epoch() < record.epoch()) {
      onReadFailed(nowMs);
      return effects;
    }
    RosterChange change = buildChange(hasMajorityContact);
    boolean isEmpty =
        change.joined().isEmpty() && change.left().isEmpty() && change.evicted().isEmpty();
    if (isEmpty) {
      isWriteRunning = false;
      reschedulePending(nowMs);
      return effects;
    }
    effects.add(new RosterEffect.WriteRoster(nextRecord(change).retire(retiredEpoch), version));
    return effects;
  }

  /** Handles a failed {@link RosterEffect.ReadRoster}. */
  public void onReadFailed(long nowMs) {
    isWriteRunning = false;
    writeAllowedMs = nowMs + MIN_WRITE_INTERVAL_MS;
    reschedulePending(nowMs);
  }

  /**
   * Processes the result of a write; after a lost response the next read shows whether it
   * succeeded.
   */
  public List<RosterEffect> onWritten(
      RosterEffect.WriteRoster write, WriteResult result, long nowMs) {
    isWriteRunning = false;
    writeAllowedMs = nowMs + MIN_WRITE_INTERVAL_MS;
    List<RosterEffect> effects = new ArrayList<>();
    if (result instanceof WriteResult.Written) {
      effects.addAll(onRecord(write.record()));
    }
    reschedulePending(nowMs);
    return effects;
  }

  private RosterChange buildChange(boolean hasMajorityContact) {
    Roster roster = record.roster();
    List<DaemonId> joined =
        pendingJoins.keySet().stream().filter(daemon -> !roster.contains(daemon)).toList();
    List<DaemonId> left = pendingLeaves.stream().filter(roster::contains).toList();
    int maxEvictions = hasMajorityContact ? (roster.daemons().size() - 1) / 2 : 0;
    List<DaemonId> evicted =
        pendingEvictions.stream()
            .filter(daemon -> roster.contains(daemon) && !pendingLeaves.contains(daemon))
            .limit(maxEvictions)
            .toList();
    return new RosterChange(record.epoch() + 1, joined, left, evicted);
  }

  private RosterRecord nextRecord(RosterChange change) {
    Set<DaemonId> removed = new HashSet<>(change.left());
    removed.addAll(change.evicted());
    List<DaemonEntry> entries = new ArrayList<>();
    for (DaemonEntry entry : record.roster().daemons()) {
      if (!removed.contains(entry.id())) {
        entries.add(entry);
      }
    }
    change.joined().forEach(daemon -> entries.add(entryOf(daemon)));
    List<RosterChange> changes = new ArrayList<>(record.changes());
    changes.add(change);
    Invariant.EPOCH_GROWS.check(change.epoch() > record.epoch(), "epoch " + change.epoch());
    return new RosterRecord(new Roster(change.epoch(), entries), changes, record.retiredEpoch());
  }

  private DaemonEntry entryOf(DaemonId daemon) {
    DaemonEntry entry = pendingJoins.get(daemon);
    if (entry == null) {
      throw new IllegalStateException("no pending join for " + daemon);
    }
    return entry;
  }

  private void removeFulfilledRequests() {
    Roster roster = record.roster();
    pendingJoins.keySet().removeIf(roster::contains);
    pendingLeaves.removeIf(daemon -> !daemon.equals(self) && !roster.contains(daemon));
    pendingEvictions.removeIf(daemon -> !roster.contains(daemon));
    if (!hasPendingRequests()) {
      writeDueMs = NEVER_MS;
    }
  }

  private boolean hasPendingRequests() {
    boolean hasPendingLeaves = this.pendingLeaves.stream().anyMatch(record.roster()::contains);
    return hasPendingLeaves || !pendingJoins.isEmpty() || !pendingEvictions.isEmpty();
  }

  private void reschedulePending(long nowMs) {
    if (hasPendingRequests()) {
      schedule(nowMs);
    }
  }

  private void schedule(long nowMs) {
    int rank = writers().indexOf(self);
    long waitMs = BATCH_DELAY_MS + (rank < 0 ? MAX_RANK : rank) * WRITER_DELAY_STEP_MS;
    writeDueMs = Math.min(writeDueMs, nowMs + waitMs);
  }

  private Set<DaemonId> candidates() {
    Set<DaemonId> candidates = new TreeSet<>(record.roster().ids());
    candidates.removeAll(pendingLeaves);
    candidates.removeAll(pendingEvictions);
    return candidates;
  }
}
