package org.limpetring.peer;

import java.nio.file.Path;

/**
 * Files of the TLS identity of this daemon, in PEM form.
 *
 * @param certificateFile certificate chain of this daemon
 * @param keyFile private key in PKCS #8 form, without password
 * @param caFile certificates of the authorities that issue the certificates of daemons
 * @param rereadMs time between readings of the files, in milliseconds
 */
public record PeerTls(Path certificateFile, Path keyFile, Path caFile, long rereadMs) {

  /** Rejects an interval that is not positive. */
  public PeerTls {
    if (rereadMs <= 0) {
      throw new IllegalArgumentException("the interval between readings must be positive");
    }
  }
}
