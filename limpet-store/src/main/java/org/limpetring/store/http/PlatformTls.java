package org.limpetring.store.http;

import java.nio.file.Path;
import org.jspecify.annotations.Nullable;

/**
 * Files for TLS towards the platform, in PEM form.
 *
 * @param caFile certificates of the authorities that issue the platform's certificate
 * @param certificateFile certificate chain of this daemon, or null where the platform asks for none
 * @param keyFile private key in PKCS #8 form without password, or null likewise
 * @param rereadMs time between readings of the files, in milliseconds
 */
public record PlatformTls(
    Path caFile, @Nullable Path certificateFile, @Nullable Path keyFile, long rereadMs) {

  /** Rejects a certificate without key, a key without certificate and a bad interval. */
  public PlatformTls {
    if ((certificateFile == null) != (keyFile == null)) {
      throw new IllegalArgumentException("certificate and key belong together");
    }
    if (rereadMs <= 0) {
      throw new IllegalArgumentException("the interval between readings must be positive");
    }
  }
}
