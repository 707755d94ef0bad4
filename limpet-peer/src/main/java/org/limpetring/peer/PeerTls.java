package org.limpetring.peer;

import java.nio.file.Path;

/**
 * PEM files with this daemon's TLS identity and trusted authorities.
 *
 * @param certificateFile certificate chain of this daemon
 * @param keyFile private key in PKCS #8 format, not encrypted
 * @param caFile certificates of the authorities that issue daemon certificates
 * @param reloadIntervalMs interval between reloads of the files, in milliseconds
 */
public record PeerTls(Path certificateFile, Path keyFile, Path caFile, long reloadIntervalMs) {

  /** Rejects a non-positive interval. */
  public PeerTls {
    if (reloadIntervalMs <= 0) {
      throw new IllegalArgumentException("TLS reload interval must be positive");
    }
  }
}
