package org.limpetring.daemon.wiring;

import com.google.inject.Inject;
import com.google.inject.Singleton;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.jboss.logging.Logger;
import org.limpetring.base.Clock;
import org.limpetring.base.LogEvent;
import org.limpetring.daemon.admission.GatedAdmission;
import org.limpetring.fleet.node.FleetNode;
import org.limpetring.groups.control.GroupController;

/** Starts and ends the daemon's control work. */
@Singleton
public final class ControlLoops {

  private static final Logger LOGGER = Logger.getLogger(ControlLoops.class);
  private static final long TICK_MS = 250;
  private static final long ADMISSION_TICK_MS = 25;
  private static final long HOST_POLL_MS = 2_000;
  private static final long LEAVE_WAIT_MS = 3_000;

  private final DaemonThreads threads;
  private final PeerHub peers;
  private final FleetNode node;
  private final HostPoller hosts;
  private final GroupController groups;
  private final TopicSpread spread;
  private final GatedAdmission admission;
  private final PauseWatch pauses;
  private final Clock clock;

  /** Takes the parts that are to run. */
  @Inject
  public ControlLoops(
      DaemonThreads threads,
      PeerHub peers,
      FleetNode node,
      HostPoller hosts,
      GroupController groups,
      TopicSpread spread,
      GatedAdmission admission,
      PauseWatch pauses,
      Clock clock) {
    this.threads = threads;
    this.peers = peers;
    this.node = node;
    this.hosts = hosts;
    this.groups = groups;
    this.spread = spread;
    this.admission = admission;
    this.pauses = pauses;
    this.clock = clock;
  }

  /** Starts all loops. */
  public void start() {
    spread.start(groups);
    peers.start();
    threads.every("hosts", HOST_POLL_MS, hosts::poll);
    threads.every("groups", TICK_MS, this::tickGroups);
    threads.every("admission", ADMISSION_TICK_MS, admission::tick);
  }

  /** Leaves the fleet and ends all loops. */
  public void leave() {
    try {
      node.leave().get(LEAVE_WAIT_MS, TimeUnit.MILLISECONDS);
    } catch (ExecutionException | TimeoutException notHeard) {
      LogEvent.UNEXPECTED_FAILURE.log(LOGGER, "leaving the roster", notHeard);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
    threads.close();
    node.close();
  }

  private void tickGroups() {
    pauses.tick(clock.nowMs());
    groups.tick();
    spread.spreadObservation(groups);
  }
}
