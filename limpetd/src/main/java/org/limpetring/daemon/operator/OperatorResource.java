package org.limpetring.daemon.operator;

import com.google.inject.Inject;
import jakarta.ws.rs.DefaultValue;
import jakarta.ws.rs.GET;
import jakarta.ws.rs.Path;
import jakarta.ws.rs.Produces;
import jakarta.ws.rs.QueryParam;
import jakarta.ws.rs.core.MediaType;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.limpetring.base.CallerId;
import org.limpetring.base.Clock;
import org.limpetring.base.DaemonId;
import org.limpetring.daemon.caller.DaemonState;
import org.limpetring.daemon.caller.InProgressRequests;
import org.limpetring.groups.control.GroupController;
import org.limpetring.groups.monitor.MergedGroup;
import org.limpetring.routing.choose.RouteMatcher;
import org.limpetring.tables.Route;

/** Operator API: state of the daemon and explanation of its routing decisions. */
@Path("/")
@Produces(MediaType.APPLICATION_JSON)
public final class OperatorResource {

  private final DaemonId self;
  private final DaemonState state;
  private final GroupController groups;
  private final InProgressRequests inProgress;
  private final Clock clock;

  /** Reports on the given components. */
  @Inject
  public OperatorResource(
      DaemonId self,
      DaemonState state,
      GroupController groups,
      InProgressRequests inProgress,
      Clock clock) {
    this.self = self;
    this.state = state;
    this.groups = groups;
    this.inProgress = inProgress;
    this.clock = clock;
  }

  /** State of the daemon and of every group. */
  @GET
  @Path("status")
  public Status status() {
    long nowMs = clock.nowMs();
    List<GroupLine> lines = new ArrayList<>();
    for (MergedGroup group : groups.view().all()) {
      lines.add(
          new GroupLine(
              group.group().id().value(),
              group.group().pool().value(),
              group.group().epoch(),
              group.group().members().stream().map(Object::toString).toList(),
              group.servesAt(nowMs),
              group.group().cold(),
              group.servesAt(nowMs) ? "" : group.reason()));
    }
    return new Status(
        self.value(),
        state.config().generation(),
        state.isReady(),
        state.isFresh(nowMs),
        state.isStopping(),
        inProgress.count(),
        lines);
  }

  /** Route and pool that a request with these attributes would get, and the state of its groups. */
  @GET
  @Path("explain")
  public Explanation explain(
      @QueryParam("caller") @DefaultValue("unknown") String caller,
      @QueryParam("path") @DefaultValue("/") String path,
      @QueryParam("method") @DefaultValue("POST") String method,
      @QueryParam("model") String model) {
    Optional<Route> route =
        RouteMatcher.match(state.config(), new CallerId(caller), path, method, model);
    if (route.isEmpty()) {
      return new Explanation("", "", List.of("no route matches"));
    }
    List<String> reasons = new ArrayList<>();
    for (MergedGroup group : groups.view().all()) {
      if (group.group().pool().equals(route.get().pool())) {
        reasons.addAll(groups.explain(group.group().id()));
      }
    }
    if (reasons.isEmpty()) {
      reasons.add("the pool has no group");
    }
    return new Explanation(
        route.get().name().value(), route.get().pool().value(), List.copyOf(reasons));
  }

  /** State of one daemon. */
  public record Status(
      String daemon,
      long generation,
      boolean ready,
      boolean fresh,
      boolean stopping,
      int requestsInProgress,
      List<GroupLine> groups) {}

  /** State of one group. */
  public record GroupLine(
      String group,
      String pool,
      long epoch,
      List<String> members,
      boolean serves,
      boolean cold,
      String reason) {}

  /** Route, pool and the state of each group of the pool. */
  public record Explanation(String route, String pool, List<String> reasons) {}
}
