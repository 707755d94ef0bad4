package org.limpetring.store.http;

import java.nio.file.Path;
import org.jspecify.annotations.Nullable;

/**
 * PEM files for TLS connections to the platform.
 *
 * @param caFile CA certificates that the platform's certificate is verified against
 * @param certificateFile certificate chain of this daemon, or null if the platform requests no
 *     client certificate
 * @param keyFile unencrypted private key in PKCS #8 form, or null if there is no certificate
 * @param reloadIntervalMs interval between reloads of the files, in milliseconds
 */
public record PlatformTls(
    Path caFile, @Nullable Path certificateFile, @Nullable Path keyFile, long reloadIntervalMs) {

  /**
   * Checks that certificate and key are both set or both null, and that the interval is positive.
   */
  public PlatformTls {
    if ((certificateFile == null) != (keyFile == null)) {
      throw new IllegalArgumentException("certificate and key must be set together");
    }
    if (reloadIntervalMs <= 0) {
      throw new IllegalArgumentException("the reload interval must be positive");
    }
  }
}
