package org.limpetring.daemon;

import com.google.inject.Inject;
import org.eclipse.jetty.server.Server;
import org.jboss.logging.Logger;
import org.limpetring.base.Clock;
import org.limpetring.base.Invariant;
import org.limpetring.base.LogEvent;
import org.limpetring.daemon.caller.InProgressRequests;
import org.limpetring.daemon.settings.DaemonSettings;
import org.limpetring.daemon.wiring.ControlLoops;
import org.limpetring.daemon.wiring.LiveDaemonState;

/**
 * Stops the daemon without aborting requests: it becomes unready, rejects new requests, waits for
 * requests in progress and stops the server.
 *
 * <p>The delay between becoming unready and rejecting gives the balancer time to send new requests
 * elsewhere. The wait for requests in progress is bounded.
 */
final class GracefulShutdown {

  private static final Logger LOGGER = Logger.getLogger(GracefulShutdown.class);

  private final DaemonSettings settings;
  private final Clock clock;
  private final LiveDaemonState state;
  private final InProgressRequests inProgress;
  private final ControlLoops loops;

  @Inject
  GracefulShutdown(
      DaemonSettings settings,
      Clock clock,
      LiveDaemonState state,
      InProgressRequests inProgress,
      ControlLoops loops) {
    this.settings = settings;
    this.clock = clock;
    this.state = state;
    this.inProgress = inProgress;
    this.loops = loops;
  }

  /** Replaces the server's own shutdown hook by this graceful shutdown. */
  void replaceShutdownHook(Server server) {
    server.setStopAtShutdown(false);
    Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(server), "graceful-stop"));
  }

  private void stop(Server server) {
    long startMs = clock.nowMs();
    LogEvent.PROCESS_STOPPING.log(LOGGER, inProgress.count() + " requests in progress");
    state.startDraining();
    pause(settings.balancerDelayMs());
    state.stop();
    int remaining = inProgress.awaitNone(settings.graceMs(), clock);
    Invariant.NO_CUT_ON_STOP.check(
        remaining == 0, remaining + " requests outlast the grace period");
    loops.leave();
    LogEvent.PROCESS_STOPPED.log(LOGGER, clock.nowMs() - startMs, remaining);
    stopServer(server);
  }

  private static void pause(long waitMs) {
    try {
      Thread.sleep(waitMs);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  private static void stopServer(Server server) {
    try {
      server.stop();
    } catch (Exception failure) {
      LogEvent.UNEXPECTED_FAILURE.log(LOGGER, "stop", failure);
    }
  }
}
