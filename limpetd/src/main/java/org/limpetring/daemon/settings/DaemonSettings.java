package org.limpetring.daemon.settings;

import org.jspecify.annotations.Nullable;
import org.limpetring.base.FailureDomain;

/**
 * Settings of one daemon.
 *
 * @param name start of the daemon's name; each run adds a part of its own
 * @param address IP number that it listens on and that peers use
 * @param callerPort TCP port for callers
 * @param adminPort TCP port for operators, metrics and health
 * @param peerPort TCP port for other daemons
 * @param failureDomain failure domain of the entry host
 * @param platformUrl base URL of the platform
 * @param maxBodyBytes longest body of a caller's request
 * @param maxThreads requests in progress at once, including those that wait
 * @param graceMs longest wait for requests in progress at a planned stop
 * @param balancerDelayMs time between becoming unready and refusing new work at a planned stop
 * @param tls keys, or null for plain connections
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
   * PEM files; read anew when they change.
   *
   * @param certificateChain certificate of this daemon and its issuers
   * @param privateKey key of the certificate, PKCS 8
   * @param trustedIssuers issuers whose certificates peers must carry
   */
  public record TlsFiles(String certificateChain, String privateKey, String trustedIssuers) {}
}
