package org.limpetring.daemon.settings;

import org.jspecify.annotations.Nullable;
import org.limpetring.base.FailureDomain;

/**
 * Settings of one daemon.
 *
 * @param name prefix of the daemon's id; each run appends a random suffix
 * @param address IP address that the daemon listens on and that peers connect to
 * @param callerPort TCP port for callers
 * @param adminPort TCP port for operators, metrics and health
 * @param peerPort TCP port for other daemons
 * @param failureDomain failure domain of the entry host
 * @param platformUrl base URL of the platform
 * @param maxBodyBytes longest body of a caller's request, in bytes
 * @param maxThreads limit of concurrent requests, including queued ones
 * @param graceMs longest wait for requests in progress at a graceful shutdown
 * @param balancerDelayMs time between becoming unready and rejecting new requests at a graceful
 *     shutdown
 * @param tls key and certificate files, or null for plain connections
 */
public record DaemonSettings(
    String name,
    String address,
    int callerPort,
    int adminPort,
    int peerPort,
    FailureDomain failureDomain,
    String platformUrl,
    int maxBodyBytes,
    int maxThreads,
    long graceMs,
    long balancerDelayMs,
    @Nullable TlsFiles tls) {

  /**
   * PEM files; reloaded when they change.
   *
   * @param certificateChain certificate chain of this daemon
   * @param privateKey private key of the certificate, in PKCS 8 form
   * @param trustedIssuers issuers that a peer's certificate must chain to
   */
  public record TlsFiles(String certificateChain, String privateKey, String trustedIssuers) {}
}
