package org.limpetring.fleet.role;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.limpetring.base.DaemonId;
import org.limpetring.base.Invariant;
import org.limpetring.fleet.roster.RosterRecord;

/**
 * Decides when this daemon may act in a role that only a fixed number of daemons may hold.
 *
 * <p>Quorum leases after Gray and Cheriton, "Leases", 1989, with one lease per daemon instead of
 * one per role: a holder in epoch {@code e} acts only for a short time after the platform or a
 * majority of the roster of {@code e} confirmed {@code e}. A daemon that has learnt a newer epoch
 * never confirms an older one. Epoch {@code e} is therefore retired once a majority of its roster
 * has acknowledged a newer epoch and the leases confirmed before have expired. A daemon acts under
 * the newest epoch only if each older epoch is retired, assigned the role to no other daemon, or
 * assigned it only to daemons that have left.
 */
public final class RoleManager {

  private static final long NEVER_MS = Long.MAX_VALUE;

  private final DaemonId self;
  private final RoleSettings settings;
  private final Map<DaemonId, Long> acknowledgedEpochs = new HashMap<>();
  private final TreeMap<Long, PendingRetirement> pendingRetirements = new TreeMap<>();
  private RosterRecord record = RosterRecord.EMPTY;
  private long retiredEpoch;
  private boolean isReleased;

  /** Older epoch that is not known to be retired. */
  private static final class PendingRetirement {
    private final Set<DaemonId> members;
    private final long learntAtMs;
    private long majorityAcknowledgedAtMs = NEVER_MS;

    PendingRetirement(Set<DaemonId> members, long learntAtMs) {
      this.members = members;
      this.learntAtMs = learntAtMs;
    }
  }

  /** Creates the manager of a daemon that has not received a roster yet. */
  public RoleManager(DaemonId self, RoleSettings settings) {
    this.self = self;
    this.settings = settings;
  }

  /** Processes a newer roster received from the platform or from a peer. */
  public void onRecord(RosterRecord newer, long nowMs) {
    if (newer.epoch() <= record.epoch()) {
      return;
    }
    Invariant.EPOCH_GROWS.check(
        newer.retiredEpoch() >= record.retiredEpoch(), "retired epoch decreased");
    record = newer;
    for (long epoch = newer.retiredEpoch() + 1; epoch < newer.epoch(); epoch++) {
      if (epoch > retiredEpoch && !pendingRetirements.containsKey(epoch)) {
        pendingRetirements.put(epoch, new PendingRetirement(newer.membersAt(epoch), nowMs));
      }
    }
    retireThrough(newer.retiredEpoch());
    onEpochAcknowledged(self, newer.epoch(), nowMs);
  }

  /** Records that {@code daemon} has learnt {@code epoch} and no longer confirms an older one. */
  public void onEpochAcknowledged(DaemonId daemon, long epoch, long nowMs) {
    if (epoch > acknowledgedEpochs.getOrDefault(daemon, 0L)) {
      acknowledgedEpochs.put(daemon, epoch);
    }
    countAcknowledgements(nowMs);
  }

  /** Whether an older epoch may not be retired yet. */
  public boolean hasPendingRetirements() {
    return !pendingRetirements.isEmpty();
  }

  /** Indexes, in sorted order, of the roster's daemons that have acknowledged its epoch. */
  public BitSet acknowledgements() {
    BitSet acknowledgements = new BitSet();
    List<DaemonId> ids = record.roster().ids();
    for (int index = 0; index < ids.size(); index++) {
      acknowledgements.set(
          index, acknowledgedEpochs.getOrDefault(ids.get(index), 0L) >= record.epoch());
    }
    return acknowledgements;
  }

  /** Merges the {@link #acknowledgements} of a peer at {@code epoch}. */
  public void onAcknowledgements(BitSet acknowledgements, long epoch, long nowMs) {
    if (epoch != record.epoch()) {
      return;
    }
    List<DaemonId> ids = record.roster().ids();
    for (int index = acknowledgements.nextSetBit(0);
        index >= 0;
        index = acknowledgements.nextSetBit(index + 1)) {
      if (index < ids.size()) {
        acknowledgedEpochs.merge(ids.get(index), epoch, Math::max);
      }
    }
    countAcknowledgements(nowMs);
  }

  /**
   * Discards epochs that have ended; returns the newest epoch retired together with all before it.
   */
  public long retire(long nowMs) {
    while (!pendingRetirements.isEmpty()
        && nowMs >= endAtMs(pendingRetirements.firstEntry().getValue())) {
      retireThrough(pendingRetirements.firstKey());
    }
    return retiredEpoch;
  }

  /** Releases all roles permanently, before a planned stop or after an eviction. */
  public void release() {
    isReleased = true;
  }

  /**
   * Snapshot for the request path.
   *
   * @param confirmedAtMs latest time at which the platform or a majority of the roster had no newer
   *     epoch
   * @param platformConfirmedAtMs latest time at which the platform held no newer epoch
   */
  public RoleView view(long confirmedAtMs, long platformConfirmedAtMs) {
    List<RoleView.UnretiredEpoch> unretiredEpochs = new ArrayList<>();
    for (Map.Entry<Long, PendingRetirement> entry : pendingRetirements.entrySet()) {
      long epoch = entry.getKey();
      PendingRetirement older = entry.getValue();
      unretiredEpochs.add(
          new RoleView.UnretiredEpoch(
              epoch, older.members, record.leftAfter(epoch), endAtMs(older)));
    }
    return new RoleView(
        self, isReleased, record, settings, confirmedAtMs, platformConfirmedAtMs, unretiredEpochs);
  }

  private void countAcknowledgements(long nowMs) {
    for (Map.Entry<Long, PendingRetirement> entry : pendingRetirements.entrySet()) {
      countAcknowledgements(entry.getKey(), entry.getValue(), nowMs);
    }
  }

  private void countAcknowledgements(long epoch, PendingRetirement older, long nowMs) {
    if (older.majorityAcknowledgedAtMs != NEVER_MS) {
      return;
    }
    Set<DaemonId> left = record.leftAfter(epoch);
    int count = 0;
    for (DaemonId member : older.members) {
      boolean hasAcknowledged =
          acknowledgedEpochs.getOrDefault(member, 0L) > epoch || left.contains(member);
      count += hasAcknowledged ? 1 : 0;
    }
    if (count >= older.members.size() / 2 + 1) {
      older.majorityAcknowledgedAtMs = nowMs;
    }
  }

  private long endAtMs(PendingRetirement older) {
    long outageEndAtMs = older.learntAtMs + settings.outageRetirementDelayMs();
    if (older.majorityAcknowledgedAtMs == NEVER_MS) {
      return outageEndAtMs;
    }
    return Math.min(outageEndAtMs, older.majorityAcknowledgedAtMs + settings.retirementDelayMs());
  }

  private void retireThrough(long epoch) {
    retiredEpoch = Math.max(retiredEpoch, epoch);
    pendingRetirements.headMap(epoch, true).clear();
  }
}
