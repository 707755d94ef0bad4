package org.limpetring.entry.model;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * Settings of the process.
 *
 * @param callerAddress where callers connect
 * @param readyAddress where readiness is asked
 * @param peerAddress where other daemons send datagrams
 * @param metricsAddress where metrics are read
 * @param storeAddress the platform's store
 * @param heartbeatMs interval at which upstreams renew their entries
 * @param bounds figures of the platform that limit what the daemon does
 */
public record EntrySettings(
    String daemonName,
    String failureDomain,
    List<String> failureDomains,
    InetSocketAddress callerAddress,
    InetSocketAddress readyAddress,
    InetSocketAddress peerAddress,
    InetSocketAddress metricsAddress,
    InetSocketAddress storeAddress,
    boolean isFirstStart,
    long heartbeatMs,
    int maxDescriptors,
    Bounds bounds) {

  /**
   * Figures of the platform.
   *
   * @param leaveMs time in which new work to a leaving upstream ends
   * @param graceMs time from the order to stop until the process is killed
   * @param stallMs time after which an engine gives up on a lost member
   * @param retryRatio repeats allowed, as a share of requests
   * @param retryExtra repeats allowed besides, for all daemons in a window
   * @param retryWindowMs length of that window
   */
  public record Bounds(
      long leaveMs,
      long graceMs,
      long stallMs,
      double retryRatio,
      double retryExtra,
      long retryWindowMs) {}

  /** Copies the list. */
  public EntrySettings {
    failureDomains = List.copyOf(failureDomains);
  }
}
