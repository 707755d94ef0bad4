package org.limpetring.entry;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.limpetring.base.Clock;
import org.limpetring.base.LogEvent;
import org.limpetring.base.ResultCode;
import org.limpetring.base.RunState;
import org.limpetring.entry.balancing.Endpoint;
import org.limpetring.entry.balancing.TeamDemand;
import org.limpetring.entry.balancing.TeamShares;
import org.limpetring.entry.model.EntryConfig;
import org.limpetring.entry.model.ModelSpec;
import org.limpetring.entry.model.ServiceSpec;
import org.limpetring.entry.model.Team;
import org.limpetring.entry.peer.PeerRegistry;
import org.limpetring.entry.route.RouteTable;

/**
 * Requests of each team at this daemon and in the fleet: feeds {@link TeamShares}, counts outcomes,
 * and logs teams that go over their share. Event loop only.
 */
final class TeamLoad {

  /** Most teams with metrics of their own. */
  private static final int MAX_METRIC_TEAMS = 32;

  private static final String OTHER_TEAMS = "other";
  private static final String NO_TEAM = "none";

  private final TeamShares shares = new TeamShares();
  private final PeerRegistry peers;
  private final Clock clock;
  private final DecisionLog log;
  private final EntryMetrics metrics;
  private final Set<String> metricTeams = new HashSet<>();
  private boolean hasSeveralTeams;

  TeamLoad(PeerRegistry peers, Clock clock, DecisionLog log, EntryMetrics metrics) {
    this.peers = peers;
    this.clock = clock;
    this.log = log;
    this.metrics = metrics;
  }

  /** Shares apply only where the configuration has several teams. */
  void onConfig(EntryConfig config) {
    long teams = config.teamsByKey().values().stream().map(Team::name).distinct().count();
    hasSeveralTeams = teams > 1;
  }

  /** A caller's request arrived; returns whether it is beyond its team's share. */
  boolean onRequest(RouteTable table, String service, @Nullable String model, @Nullable Team team) {
    metrics.teamRequest(label(team), "arrived");
    if (!hasSeveralTeams) {
      return false;
    }
    String pool = pool(table, service, model);
    shares.onRequest(pool, name(team), clock.nowMs());
    return shares.isNextBeyond(pool, name(team));
  }

  /** A caller's request was sent to an upstream for the first time. */
  void onAdmitted(RouteTable table, String service, @Nullable String model, @Nullable Team team) {
    if (hasSeveralTeams) {
      shares.onAdmitted(pool(table, service, model), name(team), clock.nowMs());
    }
  }

  /** A caller's request ended. */
  void onEnded(@Nullable Team team, ResultCode code, boolean isOnTime) {
    if (code == ResultCode.OK) {
      metrics.teamRequest(label(team), isOnTime ? "on time" : "late");
    } else if (code.runState() == RunState.NOT_RUN) {
      metrics.teamRequest(label(team), "refused");
    }
  }

  private String label(@Nullable Team team) {
    if (team == null) {
      return NO_TEAM;
    }
    if (metricTeams.size() < MAX_METRIC_TEAMS) {
      metricTeams.add(team.name());
    }
    return metricTeams.contains(team.name()) ? team.name() : OTHER_TEAMS;
  }

  private static String name(@Nullable Team team) {
    return team == null ? "" : team.name();
  }

  /** The pool's model, as in {@link FleetDemand}, or the plain service. */
  private static String pool(RouteTable table, String service, @Nullable String model) {
    ServiceSpec spec = table.config().service(service);
    if (model == null || spec == null || spec.engine() == null) {
      return service + '/';
    }
    return spec.engine().model(model) == null ? service + '/' : model;
  }

  /**
   * This daemon's part of a model's slots by the requests within the teams' shares; negative while
   * there is room for all.
   */
  double part(String model) {
    long nowMs = clock.nowMs();
    return hasSeveralTeams ? shares.part(model, peers.aliveCount(nowMs), nowMs) : -1;
  }

  /** Whether a request beyond its team's share may take a free slot of one of the endpoints. */
  boolean hasRoomBeyond(List<Endpoint> candidates) {
    ModelSpec model = candidates.isEmpty() ? null : candidates.get(0).model();
    return model == null || TeamShares.hasRoomBeyond(candidates, part(model.name()));
  }

  /** Rates to announce. */
  List<TeamDemand> announced() {
    return hasSeveralTeams ? shares.announced(clock.nowMs()) : List.of();
  }

  /** Sums over all daemons, for the planner to announce. */
  List<TeamDemand> fleet() {
    List<TeamDemand> fleet = peers.fleetTeamDemands(announced(), clock.nowMs());
    return fleet == null ? List.of() : fleet;
  }

  /** Sets the shares by the newest sums. */
  void tick() {
    if (!hasSeveralTeams) {
      return;
    }
    long nowMs = clock.nowMs();
    List<TeamDemand> own = shares.announced(nowMs);
    List<TeamDemand> fleet = peers.fleetTeamDemands(own, nowMs);
    shares.update(fleet, nowMs);
    for (TeamShares.Change change : shares.changes(fleet == null ? own : fleet, nowMs)) {
      log.write(
          change.isOver() ? LogEvent.TEAM_OVER_SHARE : LogEvent.TEAM_WITHIN_SHARE,
          "team",
          change.team(),
          "pool",
          change.pool(),
          "perMinute",
          change.perMinute(),
          "sharePerMinute",
          change.sharePerMinute(),
          "of",
          fleet == null ? "daemon" : "fleet");
    }
  }
}
