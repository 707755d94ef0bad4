package org.limpetring.entry.group;

import io.netty.channel.EventLoop;
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
import org.limpetring.entry.port.StoreReply;
import org.limpetring.entry.port.StoredObject;

/**
 * Decides who plans: the daemon whose name stands in the stored plan.
 *
 * <p>Every change of the plan is conditional on its revision, so two daemons that both believe to
 * plan cannot both write. A daemon takes over when the planner has been silent towards it; one that
 * hears few others waits longer, since it may be the one that is cut off.
 */
public final class PlannerRole {

  /** Name of the plan's object. */
  private static final String PLAN = "groups";

  /** Silence after which the first in line takes over; several datagrams may be lost. */
  private static final long SILENCE_MS = 900;

  /** Two intervals in which daemons tell each other; shorter than the planner's silence. */
  private static final long HEARD_MS = 650;

  /** Daemons that tell each one within that time, in a large fleet. */
  private static final int TOLD_BY = 2 * AnnouncementSchedule.FANOUT;

  /** Further wait of each one in line, longer than a takeover takes. */
  private static final long STEP_MS = 250;

  private static final int MAX_STEPS = 8;

  /** Further wait of a daemon that hears less than half of the others. */
  private static final long ISOLATED_MS = 5_000;

  /** Failing calls after which the planner says that it can't reach the store. */
  private static final long STUCK_MS = 300;

  /** A daemon that started so lately has not missed a planner that is still alive. */
  private static final long START_MS = 2_500;

  private static final long CALL_TIMEOUT_MS = 700;
  private static final long RETRY_MS = 300;

  private final String ownName;
  private final PlatformStore store;
  private final EventLoop loop;
  private final Clock clock;
  private final DecisionLog log;
  private final PeerRegistry peers;
  private @Nullable GroupPlan plan;
  private long revision;
  private long plannerSeenMs;
  private final long startedMs;
  private long failingSinceMs = Long.MAX_VALUE;
  private String heardPlanner = "";

  /** Highest term that was heard of or read; 0 before any. */
  private long knownTerm;

  private boolean isStoreCallPending;
  private boolean isPlanner;

  /** Role of the daemon {@code ownName}. */
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

  /** Whether this daemon plans, as far as it knows. */
  public boolean isPlanner() {
    return isPlanner;
  }

  /** Term of the planner, as far as it is known. */
  public long term() {
    return plan == null ? 0 : plan.term();
  }

  /** The plan as last read or written; null before that. */
  public @Nullable GroupPlan plan() {
    return plan;
  }

  /** Whether a write or read of the plan is in progress. */
  public boolean isStoreCallPending() {
    return isStoreCallPending;
  }

  /** Whether this daemon plans but has not reached the store for a while. */
  public boolean isStoreUnreachable(long nowMs) {
    return isPlanner && nowMs - STUCK_MS > failingSinceMs;
  }

  /** Another daemon told its state. */
  public void onPeerState(PeerState state, long nowMs) {
    if (!state.isPlanner() || state.term() < term()) {
      return;
    }
    heardPlanner = state.name();
    knownTerm = Math.max(knownTerm, state.term());
    if (state.isStopping()) {
      plannerSeenMs = Math.min(plannerSeenMs, nowMs - SILENCE_MS);
      return;
    }
    if (!state.isStoreUnreachable()) {
      // one that can't reach the store is replaced by one that can
      plannerSeenMs = nowMs;
    }
    if (isPlanner && state.term() > term()) {
      stepDown("term " + state.term() + " of " + state.name());
    }
  }

  /** Takes the role if its time has come. */
  public void tick(long nowMs) {
    if (isPlanner || isStoreCallPending || nowMs - plannerSeenMs < waitMs(nowMs)) {
      return;
    }
    isStoreCallPending = true;
    store.get(ObjectKind.PLAN, PLAN, CALL_TIMEOUT_MS, this::onRead);
  }

  /** Silence that this daemon waits for; each one in line waits a step longer. */
  private long waitMs(long nowMs) {
    List<String> heard = peers.recentPeerNames(HEARD_MS, nowMs);
    boolean isPlannerHeard = heard.contains(heardPlanner);
    int before = 0;
    // daemons hear each other only while they hear no planner
    for (String name : isPlannerHeard ? peers.knownNames() : heard) {
      if (name.compareTo(ownName) < 0 && !name.equals(heardPlanner)) {
        before++;
      }
    }
    int alive = isPlannerHeard ? peers.aliveCount(nowMs) : heard.size() + 1;
    int expected = isPlannerHeard ? peers.knownCount() : Math.min(peers.knownCount(), TOLD_BY);
    boolean isIsolated = alive * 2 < expected;
    return SILENCE_MS + STEP_MS * Math.min(before, MAX_STEPS) + (isIsolated ? ISOLATED_MS : 0);
  }

  private void onRead(StoreReply<StoredObject<GroupPlan>> reply) {
    if (reply instanceof StoreReply.Missing) {
      GroupPlan first = new GroupPlan(ownName, 1, 0, List.of());
      store.create(
          ObjectKind.PLAN, PLAN, first, CALL_TIMEOUT_MS, created -> onTaken(created, first));
      return;
    }
    StoredObject<GroupPlan> stored = reply.valueOrNull();
    if (stored == null) {
      release(reply.describe());
      return;
    }
    GroupPlan found =
        stored.value() != null ? stored.value() : new GroupPlan("", term(), 0, List.of());
    boolean isNewTerm =
        knownTerm == 0 ? clock.nowMs() - startedMs > START_MS : found.term() > knownTerm;
    knownTerm = Math.max(knownTerm, found.term());
    plan = found;
    revision = stored.revision();
    if (isNewTerm && !found.planner().equals(ownName)) {
      // somebody else has just taken over; its datagrams are on their way
      plannerSeenMs = clock.nowMs();
      isStoreCallPending = false;
      return;
    }
    GroupPlan next = new GroupPlan(ownName, found.term() + 1, found.lastEpoch(), found.groups());
    store.replace(
        ObjectKind.PLAN, PLAN, next, revision, CALL_TIMEOUT_MS, taken -> onTaken(taken, next));
  }

  private void onTaken(StoreReply<Long> reply, GroupPlan taken) {
    Long written = reply.valueOrNull();
    if (written == null) {
      release(reply.describe());
      return;
    }
    succeeded();
    isStoreCallPending = false;
    knownTerm = taken.term();
    plan = taken;
    revision = written;
    isPlanner = true;
    log.write(
        LogEvent.ROLE_GAINED,
        "role",
        "planner",
        "term",
        taken.term(),
        "revision",
        written,
        "groups",
        taken.groups().size());
  }

  private void release(String reason) {
    failed();
    // a store that is away for all is not asked by all the time
    plannerSeenMs = clock.nowMs() - SILENCE_MS / 2;
    log.write(LogEvent.PLAN_CONFLICT, "at", "takeover", "reason", reason);
    var unused = loop.schedule(() -> isStoreCallPending = false, RETRY_MS, TimeUnit.MILLISECONDS);
  }

  /**
   * Writes a changed plan; {@code done} runs once it is in force, or not at all.
   *
   * @param lastEpoch highest epoch given to a group
   */
  public void write(List<PlannedGroup> groups, long lastEpoch, Runnable done) {
    GroupPlan before = plan;
    if (!isPlanner || isStoreCallPending || before == null) {
      return;
    }
    isStoreCallPending = true;
    GroupPlan next = new GroupPlan(ownName, before.term(), lastEpoch, groups);
    store.replace(
        ObjectKind.PLAN,
        PLAN,
        next,
        revision,
        CALL_TIMEOUT_MS,
        reply -> onWritten(reply, next, done));
  }

  private void failed() {
    failingSinceMs = Math.min(failingSinceMs, clock.nowMs());
  }

  private void succeeded() {
    failingSinceMs = Long.MAX_VALUE;
  }

  private void onWritten(StoreReply<Long> reply, GroupPlan next, Runnable done) {
    Long written = reply.valueOrNull();
    if (written != null) {
      succeeded();
      isStoreCallPending = false;
      plan = next;
      revision = written;
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
    failed();
    log.write(LogEvent.PLAN_CONFLICT, "at", "write", "reason", reply.describe());
    if (reply instanceof StoreReply.Refused) {
      var unused = loop.schedule(() -> isStoreCallPending = false, RETRY_MS, TimeUnit.MILLISECONDS);
      return;
    }
    readBack();
  }

  /** After an answer was lost, or another wrote: the stored plan says who plans and what. */
  private void readBack() {
    store.get(
        ObjectKind.PLAN,
        PLAN,
        CALL_TIMEOUT_MS,
        reply -> {
          StoredObject<GroupPlan> stored = reply.valueOrNull();
          if (stored == null) {
            var unused = loop.schedule(this::readBack, RETRY_MS, TimeUnit.MILLISECONDS);
            return;
          }
          succeeded();
          isStoreCallPending = false;
          GroupPlan found = stored.value();
          if (found == null) {
            stepDown("plan can't be read");
            return;
          }
          long ownTerm = term();
          knownTerm = Math.max(knownTerm, found.term());
          plan = found;
          revision = stored.revision();
          if (!found.planner().equals(ownName) || found.term() != ownTerm) {
            stepDown("term " + found.term() + " of " + found.planner());
          }
        });
  }

  private void stepDown(String reason) {
    if (isPlanner) {
      isPlanner = false;
      plannerSeenMs = clock.nowMs();
      log.write(LogEvent.ROLE_LOST, "role", "planner", "term", term(), "reason", reason);
    }
  }
}
