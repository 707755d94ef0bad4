package org.limpetring.entry.model;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * Process settings.
 *
 * @param callerAddress listening address for callers
 * @param readyAddress listening address for readiness checks
 * @param peerAddress UDP address for datagrams of other daemons
 * @param metricsAddress listening address for metrics
 * @param storeAddress address of the platform's store
 * @param heartbeatMs interval at which upstreams renew their entries
 * @param bounds bounds that the platform sets
 * @param callerLimits limits of what the daemon holds for callers
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
    Bounds bounds,
    CallerLimits callerLimits) {

  /** Settings with the limits for callers that follow from the resources of the process. */
  public EntrySettings(
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
    this(
        daemonName,
        failureDomain,
        failureDomains,
        callerAddress,
        readyAddress,
        peerAddress,
        metricsAddress,
        storeAddress,
        isFirstStart,
        heartbeatMs,
        maxDescriptors,
        bounds,
        CallerLimits.of(maxDescriptors, Runtime.getRuntime().maxMemory()));
  }

  /**
   * Bounds that the platform sets.
   *
   * @param leaveMs time within which new requests to a leaving upstream end
   * @param graceMs time from the shutdown signal until the process is killed
   * @param stallMs time after which an engine declares a stalled member lost
   * @param retryRatio allowed retries as a share of requests
   * @param retryExtra allowed retries besides, per window for all daemons
   * @param retryWindowMs length of that window
   */
  public record Bounds(
      long leaveMs,
      long graceMs,
      long stallMs,
      double retryRatio,
      double retryExtra,
      long retryWindowMs) {}

  /** Makes a defensive copy of the list. */
  public EntrySettings {
    failureDomains = List.copyOf(failureDomains);
  }
}
