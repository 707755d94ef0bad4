package org.limpetring.entry.balancing;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.limpetring.base.RunState;
import org.limpetring.entry.model.RequestKind;
import org.limpetring.entry.model.Route;

final class RetryRuleTest {

  private static Route route(RequestKind kind, boolean isResumable, int attempts) {
    return new Route(
        "r",
        "h",
        "/",
        kind,
        1,
        1,
        attempts,
        1,
        false,
        isResumable,
        0,
        List.of(new Route.Target("s", 1)));
  }

  private static final Route STREAM = route(RequestKind.STREAMING, true, 2);
  private static final Route ORDER = route(RequestKind.NON_IDEMPOTENT, false, 2);

  @Test
  void retriesExecutedRequestOnlyIfRouteAllows() {
    assertThat(RetryRule.mayRetry(ORDER, RunState.NOT_RUN, 0)).isTrue();
    assertThat(RetryRule.mayRetry(ORDER, RunState.UNKNOWN, 1)).isFalse();
    assertThat(RetryRule.mayRetry(ORDER, RunState.RAN, 1)).isFalse();
    assertThat(RetryRule.mayRetry(STREAM, RunState.UNKNOWN, 1)).isTrue();
    assertThat(RetryRule.mayRetry(STREAM, RunState.UNKNOWN, 2)).isFalse();
    assertThat(RetryRule.mayRetry(route(RequestKind.STREAMING, false, 2), RunState.UNKNOWN, 1))
        .isFalse();
  }

  /** A second run was aborted when its group was disbanded, although no third run was allowed. */
  @Test
  void keepsLastAllowedRunAtItsGroup() {
    assertThat(RetryRule.mayMove(STREAM, 0)).isTrue();
    assertThat(RetryRule.mayMove(STREAM, 1)).isFalse();
    assertThat(RetryRule.mayMove(ORDER, 0)).isFalse();
  }
}
