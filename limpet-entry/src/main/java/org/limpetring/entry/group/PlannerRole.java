package org.limpetring.entry.group;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.limpetring.base.Clock;
import org.limpetring.base.LogEvent;
import org.limpetring.entry.DecisionLog;
import org.limpetring.entry.model.GroupPlan;
import org.limpetring.entry.model.PlannedGroup;
import org.limpetring.entry.peer.AnnouncementSchedule;
import org.limpetring.entry.peer.PeerRegistry;
import org.limpetring.entry.peer.PeerState;
import org.limpetring.entry.port.ObjectKind;
import org.limpetring.entry.port.PlatformStore;
import org.limpetring.entry.port.StorePosition;
import org.limpetring.entry.port.StoreReply;
import org.limpetring.entry.port.StoredObject;

/**
 * Elects the planner: the daemon whose name is in the stored plan.
 *
 * <p>Every write of the plan is conditional on its revision, so of two daemons that both consider
 * themselves the planner only one can write. A daemon takes over when it has received nothing from
 * the planner for a time; a daemon that receives from few others waits longer, since it may be the
 * one that is cut off.
 *
 * <p>When the store has come back from an older copy, a planner writes its plan again under a new
 * term, unless another daemon has taken the role since. A conditional write that was decided before
 * and carried out after proves nothing, since revisions are assigned again: it counts as failed,
 * and the plan is read and written again.
 */
public final class PlannerRole {

  /** Name of the plan's object in the store. */
  private static final String PLAN_NAME = "groups";

  /**
   * Planner silence after which the first-ranked daemon takes over; tolerates several lost
   * datagrams.
   */
  private static final long PLANNER_SILENCE_MS = 900;

  /** Two announcement intervals between daemons; shorter than {@link #PLANNER_SILENCE_MS}. */
  private static final long RECENT_PEER_MS = 650;

  /** Number of daemons that each daemon receives from within that time, in a large fleet. */
  private static final int EXPECTED_SENDERS = 2 * AnnouncementSchedule.FANOUT;

  /** Additional delay per rank; longer than a takeover takes. */
  private static final long RANK_DELAY_MS = 250;

  private static final int MAX_RANK_DELAYS = 8;

  /** Additional delay of a daemon that receives from less than half of the others. */
  private static final long ISOLATION_DELAY_MS = 5_000;

  /** Duration of failing calls after which the planner reports that it can't reach the store. */
  private static final long STORE_FAILURE_MS = 300;

  /** In this time after its start a daemon can't conclude from silence that the planner is gone. */
  private static final long STARTUP_GRACE_MS = 2_500;

  /**
   * Time after the store came back from a copy, or after a plan from before was taken over, in
   * which the list and the plan may be from the copy. Upstreams write their entries again sooner.
   */
  private static final long RESTORED_DOUBT_MS = 10_000;

  /**
   * Interval at which a planner in that time reads its plan, which another one may have overwritten
   * by a conditional write from before.
   */
  private static final long CHECK_INTERVAL_MS = 1_000;

  /** Epochs skipped after a write that may have overwritten a plan; more than a plan assigns. */
  private static final long OVERWRITTEN_EPOCHS = 65_536;

  private static final long CALL_TIMEOUT_MS = 700;
  private static final long RETRY_MS = 300;

  /** Several orders of one round share a confirmation. */
  private static final long CONFIRMATION_DELAY_MS = 5;

  private final String ownName;
  private final PlatformStore store;
  private final EventLoop loop;
  private final Clock clock;
  private final DecisionLog log;
  private final PeerRegistry peers;
  private @Nullable GroupPlan plan;

  /** Position of the plan as last read or written. */
  private StorePosition position = StorePosition.ZERO;

  private long storeEra;
  private long eraChangedMs = Long.MIN_VALUE / 2;
  private @Nullable RestoredPlan restored;

  /** Whether a write of this planner may have overwritten another one's plan. */
  private boolean hasOverwritten;

  /** Whether the stored plan is older than this planner's. */
  private boolean isOverwritten;

  /** Plan that is being written again; the reply to its write may be lost. */
  private @Nullable GroupPlan pendingPlan;

  private long nextCheckMs = Long.MIN_VALUE / 2;
  private long plannerSeenMs;
  private final long startedMs;
  private long failingSinceMs = Long.MAX_VALUE;
  private String observedPlanner = "";

  /** Highest term received from a peer or read from the store; 0 before any. */
  private long highestTerm;

  private final List<Runnable> unconfirmedActions = new ArrayList<>();
  private boolean isConfirmationPending;
  private boolean isStoreCallPending;
  private boolean isPlanner;

  /** Creates the planner role of the daemon {@code ownName}. */
  public PlannerRole(
      String ownName,
      PlatformStore store,
      EventLoop loop,
      Clock clock,
      DecisionLog log,
      PeerRegistry peers) {
    this.ownName = ownName;
    this.store = store;
    this.loop = loop;
    this.clock = clock;
    this.log = log;
    this.peers = peers;
    this.startedMs = clock.nowMs();
    this.plannerSeenMs = startedMs;
  }

  /** Whether this daemon considers itself the planner. */
  public boolean isPlanner() {
    return isPlanner;
  }

  /** Term of the plan as last read or written; 0 before that. */
  public long term() {
    return plan == null ? 0 : plan.term();
  }

  /** The plan as last read or written; null before that. */
  public @Nullable GroupPlan plan() {
    return plan;
  }

  /**
   * What this planner knows about a plan that it took over, or wrote again, in a new era of the
   * store; null if its plan is of the same era.
   */
  @Nullable RestoredPlan restored() {
    return restored;
  }

  /** Whether the list or the plan may still be from an older copy of the store. */
  boolean isStoreDoubtful(long nowMs) {
    RestoredPlan current = restored;
    return nowMs - eraChangedMs < RESTORED_DOUBT_MS
        || (current != null && nowMs - current.atMs() < RESTORED_DOUBT_MS);
  }

  /** The store has come back from an older copy. */
  public void onNewEra(long era) {
    storeEra = era;
    eraChangedMs = clock.nowMs();
  }

  /** Whether a read or write of the plan is in progress. */
  public boolean isStoreCallPending() {
    return isStoreCallPending;
  }

  /** Whether this daemon is the planner but its store calls have been failing for some time. */
  public boolean isStoreUnreachable(long nowMs) {
    return isPlanner && nowMs - STORE_FAILURE_MS > failingSinceMs;
  }

  /** Handles the state announced by another daemon. */
  public void onPeerState(PeerState state, long nowMs) {
    if (!state.isPlanner() || state.term() < term()) {
      return;
    }
    observedPlanner = state.name();
    highestTerm = Math.max(highestTerm, state.term());
    if (state.isStopping()) {
      plannerSeenMs = Math.min(plannerSeenMs, nowMs - PLANNER_SILENCE_MS);
      return;
    }
    if (!state.isStoreUnreachable()) {
      // a planner that can't reach the store does not reset the timeout, so that another takes over
      plannerSeenMs = nowMs;
    }
    if (isPlanner && state.term() > term()) {
      stepDown("term " + state.term() + " of " + state.name());
    } else if (isPlanner && position.era() > 0 && nowMs >= nextCheckMs) {
      // two planners of one term, from two eras of the store: the stored plan decides
      check(nowMs);
    }
  }

  private void check(long nowMs) {
    nextCheckMs = nowMs + CHECK_INTERVAL_MS;
    confirm(() -> {});
  }

  /** Starts a takeover once the planner has been silent for this daemon's delay. */
  public void tick(long nowMs) {
    if (isPlanner && !isStoreCallPending) {
      if (position.era() < storeEra || isOverwritten) {
        isStoreCallPending = true;
        readBack();
      } else if (isStoreDoubtful(nowMs) && nowMs >= nextCheckMs) {
        check(nowMs);
      }
    }
    if (isPlanner || isStoreCallPending || nowMs - plannerSeenMs < takeoverDelayMs(nowMs)) {
      return;
    }
    isStoreCallPending = true;
    store.get(ObjectKind.PLAN, PLAN_NAME, CALL_TIMEOUT_MS, this::onRead);
  }

  /**
   * Planner silence after which this daemon takes over; it grows with the daemon's rank by name.
   */
  private long takeoverDelayMs(long nowMs) {
    List<String> recentPeers = peers.recentPeerNames(RECENT_PEER_MS, nowMs);
    boolean isPlannerAlive = recentPeers.contains(observedPlanner);
    int rank = 0;
    // daemons receive from each other only while they receive from no planner
    for (String name : isPlannerAlive ? peers.knownNames() : recentPeers) {
      if (name.compareTo(ownName) < 0 && !name.equals(observedPlanner)) {
        rank++;
      }
    }
    int alive = isPlannerAlive ? peers.aliveCount(nowMs) : recentPeers.size() + 1;
    int expected =
        isPlannerAlive ? peers.knownCount() : Math.min(peers.knownCount(), EXPECTED_SENDERS);
    boolean isIsolated = alive * 2 < expected;
    return PLANNER_SILENCE_MS
        + RANK_DELAY_MS * Math.min(rank, MAX_RANK_DELAYS)
        + (isIsolated ? ISOLATION_DELAY_MS : 0);
  }

  private void onRead(StoreReply<StoredObject<GroupPlan>> reply) {
    if (reply.era() > 0) {
      // a daemon that has just started does not know when the era began
      eraChangedMs = Math.max(eraChangedMs, startedMs);
    }
    if (reply instanceof StoreReply.Missing) {
      position = new StorePosition(reply.era(), 0);
      GroupPlan first =
          new GroupPlan(
              ownName, nextTerm(0, reply.era()), RestoredPlan.floor(reply.era()), List.of());
      store.create(
          ObjectKind.PLAN,
          PLAN_NAME,
          first,
          CALL_TIMEOUT_MS,
          created -> onTakeoverWritten(created, first, 0));
      return;
    }
    StoredObject<GroupPlan> stored = reply.valueOrNull();
    if (stored == null) {
      onTakeoverFailed(reply.describe());
      return;
    }
    GroupPlan storedPlan =
        stored.value() != null ? stored.value() : new GroupPlan("", term(), 0, List.of());
    boolean isNewTerm =
        highestTerm == 0
            ? clock.nowMs() - startedMs > STARTUP_GRACE_MS
            : storedPlan.term() > highestTerm;
    highestTerm = Math.max(highestTerm, storedPlan.term());
    plan = storedPlan;
    position = stored.position();
    if (isNewTerm && !storedPlan.planner().equals(ownName)) {
      // another daemon has just taken over; its datagrams have not arrived yet
      plannerSeenMs = clock.nowMs();
      isStoreCallPending = false;
      return;
    }
    GroupPlan next =
        new GroupPlan(
            ownName,
            nextTerm(storedPlan.term(), position.era()),
            firstEpoch(storedPlan.lastEpoch(), position.era()),
            storedPlan.groups());
    store.replace(
        ObjectKind.PLAN,
        PLAN_NAME,
        next,
        position.revision(),
        CALL_TIMEOUT_MS,
        replaced -> onTakeoverWritten(replaced, next, storedPlan.lastEpoch()));
  }

  /** Term of a plan that replaces one; never one of an earlier era, whose terms may be lost. */
  private long nextTerm(long storedTerm, long era) {
    long lost = era == 0 ? 0 : Math.max(highestTerm, RestoredPlan.floor(era));
    return Math.max(storedTerm, lost) + 1;
  }

  /** Epoch after which a plan that replaces one assigns its own. */
  private long firstEpoch(long storedEpoch, long era) {
    return Math.max(storedEpoch, RestoredPlan.floor(era))
        + (hasOverwritten ? OVERWRITTEN_EPOCHS : 0);
  }

  private void onTakeoverWritten(StoreReply<Long> reply, GroupPlan takeover, long knownEpoch) {
    Long written = reply.valueOrNull();
    if (written == null || reply.era() != position.era()) {
      hasOverwritten |= written != null;
      onTakeoverFailed(written == null ? reply.describe() : "written in era " + reply.era());
      return;
    }
    onStoreSuccess();
    isStoreCallPending = false;
    highestTerm = takeover.term();
    plan = takeover;
    position = new StorePosition(reply.era(), written);
    restored =
        knownEpoch < takeover.lastEpoch()
            ? new RestoredPlan(knownEpoch, takeover.lastEpoch(), clock.nowMs())
            : null;
    hasOverwritten = false;
    isOverwritten = false;
    isPlanner = true;
    log.write(
        LogEvent.ROLE_GAINED,
        "role",
        "planner",
        "term",
        takeover.term(),
        "revision",
        written,
        "groups",
        takeover.groups().size());
  }

  private void onTakeoverFailed(String reason) {
    onStoreFailure();
    // back off, so that daemons don't all call an unavailable store continuously
    plannerSeenMs = clock.nowMs() - PLANNER_SILENCE_MS / 2;
    log.write(LogEvent.PLAN_CONFLICT, "at", "takeover", "reason", reason);
    var unused = loop.schedule(() -> isStoreCallPending = false, RETRY_MS, TimeUnit.MILLISECONDS);
  }

  /**
   * Writes a changed plan; {@code done} runs only after the write has succeeded.
   *
   * @param lastEpoch highest epoch assigned to a group
   */
  public void write(List<PlannedGroup> groups, long lastEpoch, Runnable done) {
    GroupPlan current = plan;
    if (!isPlanner || isStoreCallPending || current == null || position.era() < storeEra) {
      return;
    }
    isStoreCallPending = true;
    GroupPlan next = new GroupPlan(ownName, current.term(), lastEpoch, groups);
    store.replace(
        ObjectKind.PLAN,
        PLAN_NAME,
        next,
        position.revision(),
        CALL_TIMEOUT_MS,
        reply -> onWritten(reply, next, done));
  }

  /**
   * Runs an action once a read of the store, begun after this call, shows that this daemon is still
   * the planner; drops it if the read fails or shows another planner.
   */
  void confirm(Runnable action) {
    unconfirmedActions.add(action);
    if (!isConfirmationPending) {
      isConfirmationPending = true;
      var unused =
          loop.schedule(this::readConfirmation, CONFIRMATION_DELAY_MS, TimeUnit.MILLISECONDS);
    }
  }

  private void readConfirmation() {
    isConfirmationPending = false;
    List<Runnable> actions = List.copyOf(unconfirmedActions);
    unconfirmedActions.clear();
    store.get(
        ObjectKind.PLAN,
        PLAN_NAME,
        CALL_TIMEOUT_MS,
        reply -> {
          StoredObject<GroupPlan> stored = reply.valueOrNull();
          if (stored == null) {
            log.write(LogEvent.PLAN_CONFLICT, "at", "confirmation", "reason", reply.describe());
          } else if (isPlanner && position.era() >= stored.position().era()) {
            onConfirmationRead(stored.value(), actions);
          }
        });
  }

  private void onConfirmationRead(@Nullable GroupPlan storedPlan, List<Runnable> actions) {
    if (storedPlan == null) {
      return;
    }
    highestTerm = Math.max(highestTerm, storedPlan.term());
    if (storedPlan.planner().equals(ownName) && storedPlan.term() == term()) {
      actions.forEach(Runnable::run);
    } else if (position.era() > 0 && storedPlan.term() < term()) {
      isOverwritten = true;
    } else {
      stepDown("term " + storedPlan.term() + " of " + storedPlan.planner());
    }
  }

  private void onStoreFailure() {
    failingSinceMs = Math.min(failingSinceMs, clock.nowMs());
  }

  private void onStoreSuccess() {
    failingSinceMs = Long.MAX_VALUE;
  }

  private void onWritten(StoreReply<Long> reply, GroupPlan next, Runnable done) {
    Long written = reply.valueOrNull();
    if (written != null && reply.era() != position.era()) {
      log.write(LogEvent.PLAN_CONFLICT, "at", "write", "reason", "written in era " + reply.era());
      hasOverwritten = true;
      readBack();
      return;
    }
    if (written != null) {
      onStoreSuccess();
      isStoreCallPending = false;
      plan = next;
      position = new StorePosition(reply.era(), written);
      log.write(
          LogEvent.PLAN_WRITTEN,
          "term",
          next.term(),
          "revision",
          written,
          "groups",
          next.groups().size());
      done.run();
      return;
    }
    onStoreFailure();
    log.write(LogEvent.PLAN_CONFLICT, "at", "write", "reason", reply.describe());
    if (reply instanceof StoreReply.Refused) {
      var unused = loop.schedule(() -> isStoreCallPending = false, RETRY_MS, TimeUnit.MILLISECONDS);
      return;
    }
    readBack();
  }

  /**
   * Reads the stored plan after a lost response or a conflicting write, to learn the planner and
   * the plan in force.
   */
  private void readBack() {
    store.get(
        ObjectKind.PLAN,
        PLAN_NAME,
        CALL_TIMEOUT_MS,
        reply -> {
          StoredObject<GroupPlan> stored = reply.valueOrNull();
          GroupPlan own = plan;
          if (reply instanceof StoreReply.Missing && own != null && reply.era() > position.era()) {
            onStoreSuccess();
            writeAgain(own, new GroupPlan("", 0, 0, List.of()), new StorePosition(reply.era(), 0));
            return;
          }
          if (stored == null) {
            var unused = loop.schedule(this::readBack, RETRY_MS, TimeUnit.MILLISECONDS);
            return;
          }
          onStoreSuccess();
          GroupPlan storedPlan = stored.value();
          if (own != null && storedPlan != null && isPlanner && storedPlan.equals(pendingPlan)) {
            onWrittenAgain(own, storedPlan, stored.position());
            return;
          }
          if (own != null && storedPlan != null && isOlder(storedPlan, stored.position())) {
            writeAgain(own, storedPlan, stored.position());
            return;
          }
          isStoreCallPending = false;
          isOverwritten = false;
          if (storedPlan == null) {
            stepDown("plan can't be read");
            return;
          }
          long ownTerm = term();
          highestTerm = Math.max(highestTerm, storedPlan.term());
          plan = storedPlan;
          position = stored.position();
          if (!storedPlan.planner().equals(ownName) || storedPlan.term() != ownTerm) {
            stepDown("term " + storedPlan.term() + " of " + storedPlan.planner());
          }
        });
  }

  /** Whether the stored plan is from an older copy of the store, or was written by mistake. */
  private boolean isOlder(GroupPlan storedPlan, StorePosition storedAt) {
    if (!isPlanner || storedAt.era() == 0 || storedPlan.term() > term()) {
      return false;
    }
    boolean isOwn = storedPlan.planner().equals(ownName) && storedPlan.term() == term();
    return storedPlan.term() < term() || (isOwn && storedAt.era() > position.era());
  }

  /**
   * Writes this planner's plan into a store that shows an older one, or none. A write of which the
   * outcome is unknown is not part of it, and is decided anew.
   *
   * @param storedAt position of the stored plan; its revision is 0 if there is none
   */
  private void writeAgain(GroupPlan own, GroupPlan storedPlan, StorePosition storedAt) {
    long era = storedAt.era();
    GroupPlan next =
        new GroupPlan(
            ownName,
            nextTerm(Math.max(own.term(), storedPlan.term()), era),
            firstEpoch(Math.max(own.lastEpoch(), storedPlan.lastEpoch()), era),
            own.groups());
    pendingPlan = next;
    if (storedAt.revision() == 0) {
      store.create(
          ObjectKind.PLAN,
          PLAN_NAME,
          next,
          CALL_TIMEOUT_MS,
          reply -> onWrittenAgain(reply, own, next, era));
    } else {
      store.replace(
          ObjectKind.PLAN,
          PLAN_NAME,
          next,
          storedAt.revision(),
          CALL_TIMEOUT_MS,
          reply -> onWrittenAgain(reply, own, next, era));
    }
  }

  private void onWrittenAgain(StoreReply<Long> reply, GroupPlan own, GroupPlan next, long era) {
    Long written = reply.valueOrNull();
    if (written == null || reply.era() != era) {
      onStoreFailure();
      log.write(LogEvent.PLAN_CONFLICT, "at", "restore", "reason", reply.describe());
      var unused = loop.schedule(this::readBack, RETRY_MS, TimeUnit.MILLISECONDS);
      return;
    }
    onWrittenAgain(own, next, new StorePosition(era, written));
  }

  private void onWrittenAgain(GroupPlan own, GroupPlan next, StorePosition written) {
    onStoreSuccess();
    pendingPlan = null;
    isStoreCallPending = false;
    isOverwritten = false;
    hasOverwritten = false;
    highestTerm = Math.max(highestTerm, next.term());
    plan = next;
    position = written;
    restored = new RestoredPlan(own.lastEpoch(), next.lastEpoch(), clock.nowMs());
    log.write(
        LogEvent.PLAN_RESTORED,
        "term",
        next.term(),
        "era",
        written.era(),
        "revision",
        written.revision(),
        "groups",
        next.groups().size());
  }

  private void stepDown(String reason) {
    if (isPlanner) {
      isPlanner = false;
      plannerSeenMs = clock.nowMs();
      log.write(LogEvent.ROLE_LOST, "role", "planner", "term", term(), "reason", reason);
    }
  }
}
