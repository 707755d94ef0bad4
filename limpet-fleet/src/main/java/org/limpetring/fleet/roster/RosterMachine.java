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
 * <p>Wishes to join, to leave and to evict are gathered and written together, so the loss of many
 * daemons costs few writes. Every daemon may write; each waits by its rank, and whoever finds its
 * wishes fulfilled by then writes nothing. One write never evicts as many as half of the roster,
 * and none is evicted by a daemon that itself hears from less than most of it.
 */
public final class RosterMachine {

  /** Key of the object and name of the topic that spreads it. */
  public static final String KEY = "roster";

  /** Wait in which wishes gather. */
  public static final long BATCH_MS = 300;

  /** Time by which each further writer waits longer than the one before it. */
  public static final long WRITER_STEP_MS = 500;

  /** Ranks beyond this wait no longer. */
  public static final int MAX_RANK = 4;

  /** Shortest time between two writes of one daemon. */
  public static final long WRITE_INTERVAL_MS = 1_000;

  private static final long NEVER_MS = Long.MAX_VALUE;

  private final DaemonId self;
  private final TreeMap<DaemonId, DaemonEntry> joins = new TreeMap<>();
  private final Set<DaemonId> leaves = new TreeSet<>();
  private final Set<DaemonId> losses = new TreeSet<>();
  private RosterRecord record = RosterRecord.EMPTY;
  private boolean isBusy;
  private long dueMs = NEVER_MS;
  private long writeAllowedMs;

  /** Machine that knows no roster. */
  public RosterMachine(DaemonId self) {
    this.self = self;
  }

  /** The newest roster known here. */
  public RosterRecord record() {
    return record;
  }

  /** Wishes that {@code entry} be added. */
  public void join(DaemonEntry entry, long nowMs) {
    if (!record.roster().contains(entry.id())) {
      joins.put(entry.id(), entry);
      schedule(nowMs);
    }
  }

  /** Wishes that {@code daemon}, which has stopped acting, be removed. */
  public void leave(DaemonId daemon, long nowMs) {
    joins.remove(daemon);
    leaves.add(daemon);
    schedule(nowMs);
  }

  /** Wishes that {@code daemon}, which nobody reaches, be removed. */
  public void evict(DaemonId daemon, long nowMs) {
    if (record.roster().contains(daemon)) {
      losses.add(daemon);
      schedule(nowMs);
    }
  }

  /** Takes back the wish to evict {@code daemon}. */
  public void keep(DaemonId daemon) {
    losses.remove(daemon);
  }

  /** Daemons that write first; others tell them their wishes. */
  public List<DaemonId> writers() {
    return Rendezvous.owners(KEY, candidates(), MAX_RANK);
  }

  /** Whether a write would start now. */
  public boolean isDue(long nowMs) {
    return !isBusy && nowMs >= dueMs && nowMs >= writeAllowedMs;
  }

  /** Starts a due write. */
  public List<RosterEffect> onTick(long nowMs) {
    if (!isDue(nowMs)) {
      return List.of();
    }
    isBusy = true;
    dueMs = NEVER_MS;
    return List.of(new RosterEffect.ReadRoster());
  }

  /** Takes a roster from the platform or from a peer. */
  public List<RosterEffect> onRecord(RosterRecord newer) {
    if (newer.epoch() <= record.epoch()) {
      return List.of();
    }
    boolean wasMember = record.roster().contains(self);
    record = newer;
    dropFulfilled();
    List<RosterEffect> effects = new ArrayList<>();
    effects.add(new RosterEffect.Follow(newer));
    if (wasMember && !newer.roster().contains(self) && !leaves.contains(self)) {
      effects.add(new RosterEffect.Evicted(self));
    }
    return effects;
  }

  /**
   * Takes what {@link RosterEffect.ReadRoster} found and writes the wishes that remain.
   *
   * @param stored record in the platform, {@link RosterRecord#EMPTY} if there is none
   * @param version version of the object, 0 if there is none
   * @param inContact whether this daemon hears from most of the roster
   * @param retiredEpoch epoch up to which all are known to be over
   */
  public List<RosterEffect> onRead(
      RosterRecord stored, long version, boolean inContact, long retiredEpoch, long nowMs) {
    List<RosterEffect> effects = new ArrayList<>(onRecord(stored));
    if (stored.epoch() < record.epoch()) {
      onFailed(nowMs);
      return effects;
    }
    RosterChange change = change(inContact);
    boolean isEmpty =
        change.joined().isEmpty() && change.left().isEmpty() && change.evicted().isEmpty();
    if (isEmpty) {
      isBusy = false;
      rescheduleIfAny(nowMs);
      return effects;
    }
    effects.add(new RosterEffect.WriteRoster(next(change).retire(retiredEpoch), version));
    return effects;
  }

  /** Notes that the read of {@link RosterEffect.ReadRoster} failed. */
  public void onFailed(long nowMs) {
    isBusy = false;
    writeAllowedMs = nowMs + WRITE_INTERVAL_MS;
    rescheduleIfAny(nowMs);
  }

  /** Takes the result of a write; a lost answer is settled by reading again. */
  public List<RosterEffect> onWritten(
      RosterEffect.WriteRoster write, WriteResult result, long nowMs) {
    isBusy = false;
    writeAllowedMs = nowMs + WRITE_INTERVAL_MS;
    List<RosterEffect> effects = new ArrayList<>();
    if (result instanceof WriteResult.Written) {
      effects.addAll(onRecord(write.record()));
    }
    rescheduleIfAny(nowMs);
    return effects;
  }

  private RosterChange change(boolean inContact) {
    Roster roster = record.roster();
    List<DaemonId> joined =
        joins.keySet().stream().filter(daemon -> !roster.contains(daemon)).toList();
    List<DaemonId> left = leaves.stream().filter(roster::contains).toList();
    int evictable = inContact ? (roster.daemons().size() - 1) / 2 : 0;
    List<DaemonId> evicted =
        losses.stream()
            .filter(daemon -> roster.contains(daemon) && !leaves.contains(daemon))
            .limit(evictable)
            .toList();
    return new RosterChange(record.epoch() + 1, joined, left, evicted);
  }

  private RosterRecord next(RosterChange change) {
    Set<DaemonId> gone = new HashSet<>(change.left());
    gone.addAll(change.evicted());
    List<DaemonEntry> entries = new ArrayList<>();
    for (DaemonEntry entry : record.roster().daemons()) {
      if (!gone.contains(entry.id())) {
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
    DaemonEntry entry = joins.get(daemon);
    if (entry == null) {
      throw new IllegalStateException("no entry for " + daemon);
    }
    return entry;
  }

  private void dropFulfilled() {
    Roster roster = record.roster();
    joins.keySet().removeIf(roster::contains);
    leaves.removeIf(daemon -> !daemon.equals(self) && !roster.contains(daemon));
    losses.removeIf(daemon -> !roster.contains(daemon));
    if (!hasWishes()) {
      dueMs = NEVER_MS;
    }
  }

  private boolean hasWishes() {
    boolean leaves = this.leaves.stream().anyMatch(record.roster()::contains);
    return leaves || !joins.isEmpty() || !losses.isEmpty();
  }

  private void rescheduleIfAny(long nowMs) {
    if (hasWishes()) {
      schedule(nowMs);
    }
  }

  private void schedule(long nowMs) {
    int rank = writers().indexOf(self);
    long waitMs = BATCH_MS + (rank < 0 ? MAX_RANK : rank) * WRITER_STEP_MS;
    dueMs = Math.min(dueMs, nowMs + waitMs);
  }

  private Set<DaemonId> candidates() {
    Set<DaemonId> candidates = new TreeSet<>(record.roster().ids());
    candidates.removeAll(leaves);
    candidates.removeAll(losses);
    return candidates;
  }
}
