package org.limpetring.daemon.operator;

import com.codahale.metrics.health.HealthCheck;
import com.google.inject.Inject;
import org.limpetring.base.Clock;
import org.limpetring.daemon.caller.DaemonState;

/** Health check that passes while this daemon takes new requests. */
public final class ServingHealth extends HealthCheck {

  private final DaemonState state;
  private final Clock clock;

  /** Checks {@code state}. */
  @Inject
  public ServingHealth(DaemonState state, Clock clock) {
    this.state = state;
    this.clock = clock;
  }

  @Override
  protected Result check() {
    if (state.isDraining() || state.isStopping()) {
      return Result.unhealthy("stopping");
    }
    if (!state.isReady()) {
      return Result.unhealthy("not ready");
    }
    return state.isFresh(clock.nowMs()) ? Result.healthy() : Result.unhealthy("cut off");
  }
}
