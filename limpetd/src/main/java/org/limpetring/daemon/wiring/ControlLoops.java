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

/** Starts and stops the daemon's periodic control tasks. */
@Singleton
public final class ControlLoops {

  private static final Logger LOGGER = Logger.getLogger(ControlLoops.class);
  private static final long TICK_INTERVAL_MS = 250;
  private static final long ADMISSION_TICK_INTERVAL_MS = 25;
  private static final long HOST_POLL_INTERVAL_MS = 2_000;
  private static final long LEAVE_TIMEOUT_MS = 3_000;

  private final DaemonThreads threads;
  private final PeerDispatcher peers;
  private final FleetNode node;
  private final HostPoller hosts;
  private final GroupController groups;
  private final TopicGossip gossip;
  private final GatedAdmission admission;
  private final PauseWatch pauseWatch;
  private final Clock clock;

  /** Creates the loops without starting them. */
  @Inject
  public ControlLoops(
      DaemonThreads threads,
      PeerDispatcher peers,
      FleetNode node,
      HostPoller hosts,
      GroupController groups,
      TopicGossip gossip,
      GatedAdmission admission,
      PauseWatch pauseWatch,
      Clock clock) {
    this.threads = threads;
    this.peers = peers;
    this.node = node;
    this.hosts = hosts;
    this.groups = groups;
    this.gossip = gossip;
    this.admission = admission;
    this.pauseWatch = pauseWatch;
    this.clock = clock;
  }

  /** Starts all loops. */
  public void start() {
    gossip.start(groups);
    peers.start();
    threads.runPeriodically("hosts", HOST_POLL_INTERVAL_MS, hosts::poll);
    threads.runPeriodically("groups", TICK_INTERVAL_MS, this::tickGroups);
    threads.runPeriodically("admission", ADMISSION_TICK_INTERVAL_MS, admission::tick);
  }

  /** Leaves the roster and stops all loops. */
  public void leave() {
    try {
      node.leave().get(LEAVE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    } catch (ExecutionException | TimeoutException unconfirmed) {
      LogEvent.UNEXPECTED_FAILURE.log(LOGGER, "leaving the roster", unconfirmed);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
    threads.close();
    node.close();
  }

  private void tickGroups() {
    pauseWatch.tick(clock.nowMs());
    groups.tick();
    gossip.publishObservation(groups);
  }
}
