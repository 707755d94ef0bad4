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
 * Decides when this daemon may act in a role that at most a fixed number of daemons may hold.
 *
 * <p>Leases by quorum in the manner of Gray and Cheriton, "Leases", 1989, without a lease per role:
 * a holder under epoch {@code e} acts only shortly after the platform or most of the {@code e}
 * roster confirmed {@code e}. A daemon that has learnt a newer epoch never confirms an older one.
 * Epoch {@code e} is therefore over once most of its roster has learnt a newer epoch and the
 * confirmations given before have run out. A daemon acts under the newest epoch only if every older
 * epoch is over or named no other holder, or if those holders have left.
 */
public final class RoleKeeper {

  private static final long NEVER_MS = Long.MAX_VALUE;

  private final DaemonId self;
  private final RoleSettings settings;
  private final Map<DaemonId, Long> epochSeen = new HashMap<>();
  private final TreeMap<Long, Pending> pending = new TreeMap<>();
  private RosterRecord record = RosterRecord.EMPTY;
  private long retiredEpoch;
  private boolean isReleased;

  /** Older epoch that is not known to be over. */
  private static final class Pending {
    private final Set<DaemonId> members;
    private final long learntAtMs;
    private long majorityAtMs = NEVER_MS;

    Pending(Set<DaemonId> members, long learntAtMs) {
      this.members = members;
      this.learntAtMs = learntAtMs;
    }
  }

  /** Keeper of a daemon that knows no roster. */
  public RoleKeeper(DaemonId self, RoleSettings settings) {
    this.self = self;
    this.settings = settings;
  }

  /** Takes a newer roster from the platform or from a peer. */
  public void onRecord(RosterRecord newer, long nowMs) {
    if (newer.epoch() <= record.epoch()) {
      return;
    }
    Invariant.EPOCH_GROWS.check(
        newer.retiredEpoch() >= record.retiredEpoch(), "retired epoch went back");
    record = newer;
    for (long epoch = newer.retiredEpoch() + 1; epoch < newer.epoch(); epoch++) {
      if (epoch > retiredEpoch && !pending.containsKey(epoch)) {
        pending.put(epoch, new Pending(newer.membersAt(epoch), nowMs));
      }
    }
    retireThrough(newer.retiredEpoch());
    onEpochSeen(self, newer.epoch(), nowMs);
  }

  /** Notes that {@code daemon} has learnt {@code epoch} and confirms no older one. */
  public void onEpochSeen(DaemonId daemon, long epoch, long nowMs) {
    if (epoch > epochSeen.getOrDefault(daemon, 0L)) {
      epochSeen.put(daemon, epoch);
    }
    countAcknowledgements(nowMs);
  }

  /** Whether an older epoch may not be over yet. */
  public boolean isWaiting() {
    return !pending.isEmpty();
  }

  /** Daemons of the roster, by place in sorted order, that have learnt its epoch. */
  public BitSet seen() {
    BitSet seen = new BitSet();
    List<DaemonId> ids = record.roster().ids();
    for (int index = 0; index < ids.size(); index++) {
      seen.set(index, epochSeen.getOrDefault(ids.get(index), 0L) >= record.epoch());
    }
    return seen;
  }

  /** Takes what a peer at {@code epoch} has found with {@link #seen}. */
  public void onSeen(BitSet seen, long epoch, long nowMs) {
    if (epoch != record.epoch()) {
      return;
    }
    List<DaemonId> ids = record.roster().ids();
    for (int index = seen.nextSetBit(0); index >= 0; index = seen.nextSetBit(index + 1)) {
      if (index < ids.size()) {
        epochSeen.merge(ids.get(index), epoch, Math::max);
      }
    }
    countAcknowledgements(nowMs);
  }

  /** Forgets epochs that are over; returns the newest epoch up to which all are. */
  public long retire(long nowMs) {
    while (!pending.isEmpty() && nowMs >= endAtMs(pending.firstEntry().getValue())) {
      retireThrough(pending.firstKey());
    }
    return retiredEpoch;
  }

  /** Gives up all roles for good, before a planned stop or after an eviction. */
  public void release() {
    isReleased = true;
  }

  /**
   * Snapshot for the request path.
   *
   * @param confirmedAtMs latest time by which no newer epoch had been learnt by the platform or by
   *     most of the roster
   * @param platformAtMs latest time by which the platform held no newer epoch
   */
  public RoleView view(long confirmedAtMs, long platformAtMs) {
    List<RoleView.UnretiredEpoch> unretiredEpochs = new ArrayList<>();
    for (Map.Entry<Long, Pending> entry : pending.entrySet()) {
      long epoch = entry.getKey();
      Pending older = entry.getValue();
      unretiredEpochs.add(
          new RoleView.UnretiredEpoch(
              epoch, older.members, record.leftAfter(epoch), endAtMs(older)));
    }
    return new RoleView(
        self, isReleased, record, settings, confirmedAtMs, platformAtMs, unretiredEpochs);
  }

  private void countAcknowledgements(long nowMs) {
    for (Map.Entry<Long, Pending> entry : pending.entrySet()) {
      countAcknowledgements(entry.getKey(), entry.getValue(), nowMs);
    }
  }

  private void countAcknowledgements(long epoch, Pending older, long nowMs) {
    if (older.majorityAtMs != NEVER_MS) {
      return;
    }
    Set<DaemonId> left = record.leftAfter(epoch);
    int count = 0;
    for (DaemonId member : older.members) {
      boolean hasMovedOn = epochSeen.getOrDefault(member, 0L) > epoch || left.contains(member);
      count += hasMovedOn ? 1 : 0;
    }
    if (count >= older.members.size() / 2 + 1) {
      older.majorityAtMs = nowMs;
    }
  }

  private long endAtMs(Pending older) {
    long byOutageMs = older.learntAtMs + settings.outageRetirementMs();
    if (older.majorityAtMs == NEVER_MS) {
      return byOutageMs;
    }
    return Math.min(byOutageMs, older.majorityAtMs + settings.retirementMs());
  }

  private void retireThrough(long epoch) {
    retiredEpoch = Math.max(retiredEpoch, epoch);
    pending.headMap(epoch, true).clear();
  }
}
