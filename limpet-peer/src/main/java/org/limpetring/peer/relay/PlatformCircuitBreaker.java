package org.limpetring.peer.relay;

import java.util.concurrent.atomic.AtomicLong;
import org.limpetring.base.Clock;

/** Remembers whether the daemon's own way to the platform works. */
public final class PlatformCircuitBreaker {

  private static final long NEVER = Long.MIN_VALUE;

  private final Clock clock;
  private final long retryMs;
  private final AtomicLong brokenUntilMs = new AtomicLong(NEVER);

  /** After a failed call the way counts as broken for {@code retryMs}. */
  public PlatformCircuitBreaker(Clock clock, long retryMs) {
    this.clock = clock;
    this.retryMs = retryMs;
  }

  /** Whether the last call failed less than the retry time ago. */
  public boolean isBroken() {
    return clock.nowMs() < brokenUntilMs.get();
  }

  /** Notes how a direct call ended. */
  public void onCall(boolean answered) {
    brokenUntilMs.set(answered ? NEVER : clock.nowMs() + retryMs);
  }
}
