package org.limpetring.daemon;

import com.google.inject.Inject;
import org.eclipse.jetty.server.Server;
import org.jboss.logging.Logger;
import org.limpetring.base.Clock;
import org.limpetring.base.Invariant;
import org.limpetring.base.LogEvent;
import org.limpetring.daemon.caller.InProgress;
import org.limpetring.daemon.settings.DaemonSettings;
import org.limpetring.daemon.wiring.ControlLoops;
import org.limpetring.daemon.wiring.LiveState;

/**
 * Stops the daemon without cutting a request: unready, then refusing, then waiting, then down.
 *
 * <p>The delay between becoming unready and refusing gives the balancer time to send new requests
 * elsewhere. The wait for requests in progress is bounded.
 */
final class GracefulStop {

  private static final Logger LOGGER = Logger.getLogger(GracefulStop.class);

  private final DaemonSettings settings;
  private final Clock clock;
  private final LiveState state;
  private final InProgress inProgress;
  private final ControlLoops loops;

  @Inject
  GracefulStop(
      DaemonSettings settings,
      Clock clock,
      LiveState state,
      InProgress inProgress,
      ControlLoops loops) {
    this.settings = settings;
    this.clock = clock;
    this.state = state;
    this.inProgress = inProgress;
    this.loops = loops;
  }

  /** Takes the place of the server's own reaction to a signal. */
  void takeOver(Server server) {
    server.setStopAtShutdown(false);
    Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(server), "graceful-stop"));
  }

  private void stop(Server server) {
    long startMs = clock.nowMs();
    LogEvent.PROCESS_STOPPING.log(LOGGER, inProgress.count() + " requests in progress");
    state.becomeUnready();
    pause(settings.balancerDelayMs());
    state.stop();
    int cut = inProgress.awaitNone(settings.graceMs(), clock);
    Invariant.NO_CUT_ON_STOP.check(cut == 0, cut + " requests outlast the grace period");
    loops.leave();
    LogEvent.PROCESS_STOPPED.log(LOGGER, clock.nowMs() - startMs, cut);
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
