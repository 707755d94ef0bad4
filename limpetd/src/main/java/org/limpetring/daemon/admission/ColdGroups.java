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
import org.limpetring.daemon.caller.Admission.AdmissionRequest;
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

/** Grants permits for cold groups within their budget and detects groups turning cold or warm. */
public final class ColdGroups {

  private static final Logger LOGGER = Logger.getLogger(ColdGroups.class);

  private final Clock clock;
  private final DaemonState state;
  private final FleetPort fleet;
  private final ColdGate gate;
  private final ColdGroupDetector detector;
  private final ColdSettings settings;
  private final NoticePort notices;
  private long expiredSendersEpoch;

  /** Grants permits by {@code gate} and publishes state changes through {@code notices}. */
  @Inject
  public ColdGroups(
      Clock clock,
      DaemonState state,
      FleetPort fleet,
      ColdGate gate,
      ColdGroupDetector detector,
      ColdSettings settings,
      NoticePort notices) {
    this.clock = clock;
    this.state = state;
    this.fleet = fleet;
    this.gate = gate;
    this.detector = detector;
    this.settings = settings;
    this.notices = notices;
  }

  /** A permit for a cold group of the pool, if this daemon may grant one now. */
  Optional<Permit> tryAdmit(AdmissionRequest request) {
    long nowMs = clock.nowMs();
    for (ServingGroup group : state.groups().groupsOf(request.pool().name())) {
      boolean mayOutlastPermit =
          !request.idempotent() && request.deadlineAtMs() - nowMs > settings.maxPermitMs();
      if (mayOutlastPermit || !detector.isCold(group) || request.excluded().contains(group.id())) {
        continue;
      }
      boolean holdsRole = fleet.holds(Role.coldSender(group.id()), nowMs);
      ColdPermitDecision decision =
          gate.tryAcquire(
              group, request.pool().coldBudget(), request.deadlineAtMs() - nowMs, holdsRole, nowMs);
      if (decision instanceof ColdPermitDecision.Granted granted) {
        return Optional.of(new ColdGroupPermit(group, granted.permit(), nowMs));
      }
    }
    return Optional.empty();
  }

  /** Whether the pool has a cold group that the request has not tried. */
  boolean hasUntried(AdmissionRequest request) {
    return state.groups().groupsOf(request.pool().name()).stream()
        .anyMatch(group -> !request.excluded().contains(group.id()) && detector.isCold(group));
  }

  /** Updates the state of a group by one try that shows it cold or warm. */
  void observe(ServingGroup group, TryReport report) {
    if (!report.sent()) {
      return;
    }
    Optional<ColdNotice> notice = Optional.empty();
    if (detector.indicatesCold(report.code(), report.firstEventMs())) {
      notice = detector.markCold(group);
      notice.ifPresent(mark -> LogEvent.UPSTREAM_COLD.log(LOGGER, group.id(), report.code()));
    } else if (report.code() == ResultCode.OK) {
      notice = detector.recordSuccess(group);
      notice.ifPresent(mark -> LogEvent.UPSTREAM_WARM.log(LOGGER, group.id()));
    }
    notice.ifPresent(notices::publish);
  }

  /** Applies the newest roster and drops state of groups that no longer exist. */
  void tick() {
    long nowMs = clock.nowMs();
    Roster roster = fleet.roster();
    gate.onRoster(roster);
    if (roster.epoch() > expiredSendersEpoch && fleet.earlierRolesExpired(nowMs)) {
      gate.onEarlierSendersStopped(nowMs);
      expiredSendersEpoch = roster.epoch();
    }
    Set<GroupId> existingGroups =
        state.groups().all().stream().map(ServingGroup::id).collect(Collectors.toSet());
    gate.retain(existingGroups, nowMs);
  }

  private final class ColdGroupPermit implements Permit {

    private final ServingGroup group;
    private final ColdPermit permit;
    private final long requestedAtMs;

    ColdGroupPermit(ServingGroup group, ColdPermit permit, long requestedAtMs) {
      this.group = group;
      this.permit = permit;
      this.requestedAtMs = requestedAtMs;
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
    public long expiresAtMs() {
      return requestedAtMs + permit.validMs();
    }

    @Override
    public void release(TryReport report) {
      observe(group, report);
      gate.release(permit, report.sent() && report.code() == ResultCode.OK);
    }
  }
}
