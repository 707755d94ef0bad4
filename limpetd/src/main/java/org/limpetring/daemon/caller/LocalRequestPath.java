package org.limpetring.daemon.caller;

import com.google.inject.Inject;
import java.io.IOException;
import java.util.Optional;
import org.limpetring.base.Clock;
import org.limpetring.base.Metrics;
import org.limpetring.base.ResultCode;
import org.limpetring.base.RunState;
import org.limpetring.engine.EnginePort;
import org.limpetring.routing.choose.RouteMatcher;
import org.limpetring.routing.request.RequestMachine;
import org.limpetring.routing.request.RequestTraits;
import org.limpetring.routing.request.RetryPermit;
import org.limpetring.tables.AcceptedConfig;
import org.limpetring.tables.Pool;
import org.limpetring.tables.Route;

/** Refuses what this daemon cannot take, and starts the machine of each request that it can. */
public final class LocalRequestPath implements RequestPath {

  private static final int MAX_TRIES = 3;

  private final Clock clock;
  private final EnginePort engine;
  private final Admission admission;
  private final Claims claims;
  private final Suspects suspects;
  private final DaemonState state;
  private final RetryPermit retryPermit;
  private final InProgress inProgress;

  /** Wires the request path together. */
  @Inject
  public LocalRequestPath(
      Clock clock,
      EnginePort engine,
      Admission admission,
      Claims claims,
      Suspects suspects,
      DaemonState state,
      RetryPermit retryPermit,
      InProgress inProgress) {
    this.clock = clock;
    this.engine = engine;
    this.admission = admission;
    this.claims = claims;
    this.suspects = suspects;
    this.state = state;
    this.retryPermit = retryPermit;
    this.inProgress = inProgress;
  }

  @Override
  public AcceptedConfig config() {
    return state.config();
  }

  @Override
  public void serve(CallerRequest request, CallerAnswer answer) throws IOException {
    if (state.isStopping()) {
      refuse(ResultCode.STOPPING, answer);
      return;
    }
    if (!state.isReady()) {
      refuse(ResultCode.NOT_READY, answer);
      return;
    }
    inProgress.begin();
    try {
      route(request, answer);
    } finally {
      inProgress.end();
    }
  }

  private void route(CallerRequest request, CallerAnswer answer) throws IOException {
    AcceptedConfig config = state.config();
    Optional<Route> route =
        RouteMatcher.match(
            config, request.caller(), request.path(), request.method(), request.chat().model());
    Optional<Pool> pool = route.flatMap(found -> findPool(config, found));
    if (route.isEmpty() || pool.isEmpty()) {
      refuse(ResultCode.NO_ROUTE, answer);
      return;
    }
    boolean idempotent = route.get().idempotent();
    if (!idempotent && request.idempotencyKey() == null) {
      refuse(ResultCode.KEY_REQUIRED, answer);
      return;
    }
    RequestTraits traits =
        new RequestTraits(
            idempotent,
            idempotent ? null : request.idempotencyKey(),
            request.chat().streamed(),
            MAX_TRIES);
    RequestMachine machine = new RequestMachine(traits, retryPermit);
    new RequestDriver(
            clock,
            engine,
            admission,
            claims,
            suspects,
            state,
            machine,
            request,
            answer,
            route.get(),
            pool.get())
        .run();
  }

  private static Optional<Pool> findPool(AcceptedConfig config, Route route) {
    return config.pools().pools().stream()
        .filter(pool -> pool.name().equals(route.pool()))
        .findFirst();
  }

  private static void refuse(ResultCode code, CallerAnswer answer) throws IOException {
    Metrics.REFUSALS.labelValues(code.name()).inc();
    answer.fail(code, RunState.NOT_RUN, "");
  }
}
