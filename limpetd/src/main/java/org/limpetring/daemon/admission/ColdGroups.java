package org.limpetring.daemon.admission;

import com.google.inject.Inject;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.jboss.logging.Logger;
import org.limpetring.base.Clock;
import org.limpetring.base.GroupId;
import org.limpetring.base.LogEvent;
import org.limpetring.base.ResultCode;
import org.limpetring.daemon.caller.Admission.Ask;
import org.limpetring.daemon.caller.Admission.Permit;
import org.limpetring.daemon.caller.Admission.TryReport;
import org.limpetring.daemon.caller.DaemonState;
import org.limpetring.daemon.wiring.FleetPort;
import org.limpetring.fleet.Role;
import org.limpetring.fleet.Roster;
import org.limpetring.groups.ServingGroup;
import org.limpetring.routing.cold.ColdGate;
import org.limpetring.routing.cold.ColdGroupDetector;
import org.limpetring.routing.cold.ColdNotice;
import org.limpetring.routing.cold.ColdPermit;
import org.limpetring.routing.cold.ColdPermitDecision;
import org.limpetring.routing.cold.ColdSettings;

/** Cold groups: permits within their budget, and the evidence that turns a group cold or warm. */
public final class ColdGroups {

  private static final Logger LOGGER = Logger.getLogger(ColdGroups.class);

  private final Clock clock;
  private final DaemonState state;
  private final FleetPort fleet;
  private final ColdGate gate;
  private final ColdGroupDetector marks;
  private final ColdSettings settings;
  private final NoticePort notices;
  private long settledEpoch;

  /** Gives permits by {@code gate} and spreads what it learns through {@code notices}. */
  @Inject
  public ColdGroups(
      Clock clock,
      DaemonState state,
      FleetPort fleet,
      ColdGate gate,
      ColdGroupDetector marks,
      ColdSettings settings,
      NoticePort notices) {
    this.clock = clock;
    this.state = state;
    this.fleet = fleet;
    this.gate = gate;
    this.marks = marks;
    this.settings = settings;
    this.notices = notices;
  }

  /** A permit for a cold group of the pool, if this daemon may give one now. */
  Optional<Permit> tryAdmit(Ask ask) {
    long nowMs = clock.nowMs();
    for (ServingGroup group : state.groups().groupsOf(ask.pool().name())) {
      boolean mayBeCut = !ask.idempotent() && ask.deadlineAtMs() - nowMs > settings.maxPermitMs();
      if (mayBeCut || !marks.isCold(group) || ask.excluded().contains(group.id())) {
        continue;
      }
      boolean holdsRole = fleet.holds(Role.coldSender(group.id()), nowMs);
      ColdPermitDecision answer =
          gate.tryAcquire(
              group, ask.pool().coldBudget(), ask.deadlineAtMs() - nowMs, holdsRole, nowMs);
      if (answer instanceof ColdPermitDecision.Granted granted) {
        return Optional.of(new HeldPermit(group, granted.permit(), nowMs));
      }
    }
    return Optional.empty();
  }

  /** Whether the pool has a cold group that the request has not tried. */
  boolean anyServing(Ask ask) {
    return state.groups().groupsOf(ask.pool().name()).stream()
        .anyMatch(group -> !ask.excluded().contains(group.id()) && marks.isCold(group));
  }

  /** Learns from one try whether a group has turned cold or proved warm. */
  void observe(ServingGroup group, TryReport report) {
    if (!report.sent()) {
      return;
    }
    Optional<ColdNotice> notice = Optional.empty();
    if (marks.indicatesCold(report.code(), report.firstEventMs())) {
      notice = marks.markCold(group);
      notice.ifPresent(mark -> LogEvent.UPSTREAM_COLD.log(LOGGER, group.id(), report.code()));
    } else if (report.code() == ResultCode.OK) {
      notice = marks.recordSuccess(group);
      notice.ifPresent(mark -> LogEvent.UPSTREAM_WARM.log(LOGGER, group.id()));
    }
    notice.ifPresent(notices::spread);
  }

  /** Takes the newest roster and forgets groups that are gone. */
  void tick() {
    long nowMs = clock.nowMs();
    Roster roster = fleet.roster();
    gate.onRoster(roster);
    if (roster.epoch() > settledEpoch && fleet.earlierRolesOver(nowMs)) {
      gate.onEarlierSendersStopped(nowMs);
      settledEpoch = roster.epoch();
    }
    Set<GroupId> existing =
        state.groups().all().stream().map(ServingGroup::id).collect(Collectors.toSet());
    gate.retain(existing, nowMs);
  }

  private final class HeldPermit implements Permit {

    private final ServingGroup group;
    private final ColdPermit permit;
    private final long askedMs;

    HeldPermit(ServingGroup group, ColdPermit permit, long askedMs) {
      this.group = group;
      this.permit = permit;
      this.askedMs = askedMs;
    }

    @Override
    public ServingGroup group() {
      return group;
    }

    @Override
    public boolean isCold() {
      return true;
    }

    @Override
    public long endsAtMs() {
      return askedMs + permit.validMs();
    }

    @Override
    public void release(TryReport report) {
      observe(group, report);
      gate.release(permit, report.sent() && report.code() == ResultCode.OK);
    }
  }
}
