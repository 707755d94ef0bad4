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

/** Rejects requests that this daemon cannot take and runs the state machine of each other one. */
public final class LocalRequestPath implements RequestPath {

  private static final int MAX_TRIES = 3;

  private final Clock clock;
  private final EnginePort engine;
  private final Admission admission;
  private final Claims claims;
  private final PoisonGuard poisonGuard;
  private final DaemonState state;
  private final RetryPermit retryPermit;
  private final InProgressRequests inProgress;

  /** Creates a request path from its dependencies. */
  @Inject
  public LocalRequestPath(
      Clock clock,
      EnginePort engine,
      Admission admission,
      Claims claims,
      PoisonGuard poisonGuard,
      DaemonState state,
      RetryPermit retryPermit,
      InProgressRequests inProgress) {
    this.clock = clock;
    this.engine = engine;
    this.admission = admission;
    this.claims = claims;
    this.poisonGuard = poisonGuard;
    this.state = state;
    this.retryPermit = retryPermit;
    this.inProgress = inProgress;
  }

  @Override
  public AcceptedConfig config() {
    return state.config();
  }

  @Override
  public void serve(CallerRequest request, CallerResponse response) throws IOException {
    if (state.isStopping()) {
      reject(ResultCode.STOPPING, response);
      return;
    }
    if (!state.isReady()) {
      reject(ResultCode.NOT_READY, response);
      return;
    }
    inProgress.begin();
    try {
      route(request, response);
    } finally {
      inProgress.end();
    }
  }

  private void route(CallerRequest request, CallerResponse response) throws IOException {
    AcceptedConfig config = state.config();
    Optional<Route> route =
        RouteMatcher.match(
            config, request.caller(), request.path(), request.method(), request.chat().model());
    Optional<Pool> pool = route.flatMap(found -> findPool(config, found));
    if (route.isEmpty() || pool.isEmpty()) {
      reject(ResultCode.NO_ROUTE, response);
      return;
    }
    boolean idempotent = route.get().idempotent();
    if (!idempotent && request.idempotencyKey() == null) {
      reject(ResultCode.KEY_REQUIRED, response);
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
            poisonGuard,
            state,
            machine,
            request,
            response,
            route.get(),
            pool.get())
        .run();
  }

  private static Optional<Pool> findPool(AcceptedConfig config, Route route) {
    return config.pools().pools().stream()
        .filter(pool -> pool.name().equals(route.pool()))
        .findFirst();
  }

  private static void reject(ResultCode code, CallerResponse response) throws IOException {
    Metrics.REFUSALS.labelValues(code.name()).inc();
    response.fail(code, RunState.NOT_RUN, "");
  }
}
