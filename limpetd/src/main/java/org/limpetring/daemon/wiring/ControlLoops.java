package org.limpetring.daemon.wiring;

import com.google.inject.Inject;
import com.google.inject.Singleton;
import org.limpetring.groups.control.GroupController;

/** Starts and ends the daemon's control work. */
@Singleton
public final class ControlLoops {

  private static final long TICK_MS = 250;
  private static final long HOST_POLL_MS = 2_000;
  private static final long CONFIG_POLL_MS = 1_000;

  private final DaemonThreads threads;
  private final PollingFleet fleet;
  private final HostPoller hosts;
  private final GroupController groups;

  /** Takes the parts that are to run. */
  @Inject
  public ControlLoops(
      DaemonThreads threads, PollingFleet fleet, HostPoller hosts, GroupController groups) {
    this.threads = threads;
    this.fleet = fleet;
    this.hosts = hosts;
    this.groups = groups;
  }

  /** Starts all loops. */
  public void start() {
    threads.every("configuration", CONFIG_POLL_MS, fleet::poll);
    threads.every("hosts", HOST_POLL_MS, hosts::poll);
    threads.every("groups", TICK_MS, groups::tick);
  }

  /** Leaves the fleet and ends all loops. */
  public void leave() {
    threads.close();
  }
}
