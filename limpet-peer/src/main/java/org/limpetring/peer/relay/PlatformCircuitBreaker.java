package org.limpetring.peer.relay;

import java.util.concurrent.atomic.AtomicLong;
import org.limpetring.base.Clock;

/** Circuit breaker for the daemon's direct calls to the platform. */
public final class PlatformCircuitBreaker {

  private static final long CLOSED = Long.MIN_VALUE;

  private final Clock clock;
  private final long openMs;
  private final AtomicLong openUntilMs = new AtomicLong(CLOSED);

  /** Creates a closed breaker that a failed call opens for {@code openMs}. */
  public PlatformCircuitBreaker(Clock clock, long openMs) {
    this.clock = clock;
    this.openMs = openMs;
  }

  /** Returns whether the last call failed less than {@code openMs} ago. */
  public boolean isOpen() {
    return clock.nowMs() < openUntilMs.get();
  }

  /** Records the outcome of a direct call. */
  public void recordCall(boolean succeeded) {
    openUntilMs.set(succeeded ? CLOSED : clock.nowMs() + openMs);
  }
}
