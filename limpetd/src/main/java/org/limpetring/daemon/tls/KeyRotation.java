package org.limpetring.daemon.tls;

import com.google.common.hash.HashCode;
import com.google.common.hash.Hashing;
import com.google.common.io.Files;
import io.dropwizard.jetty.SslReload;
import java.io.File;
import java.io.IOException;
import org.jboss.logging.Logger;
import org.limpetring.base.LogEvent;
import org.limpetring.daemon.settings.DaemonSettings.TlsFiles;

/**
 * Reloads the TLS key and certificate when their files change; open connections keep the old ones.
 *
 * <p>Files that cannot be loaded, for example because only one of the pair has been replaced so
 * far, are ignored and tried again at the next poll.
 */
public final class KeyRotation {

  private static final Logger LOGGER = Logger.getLogger(KeyRotation.class);

  private final TlsFiles files;
  private final SslReload reload;
  private HashCode loadedHash;

  /** Watches {@code files}, which the server has already loaded. */
  public KeyRotation(TlsFiles files, SslReload reload) throws IOException {
    this.files = files;
    this.reload = reload;
    this.loadedHash = hash();
  }

  /** Checks the files once; returns whether a new key and certificate were loaded. */
  public boolean poll() {
    try {
      HashCode currentHash = hash();
      if (currentHash.equals(loadedHash)) {
        return false;
      }
      reload.reloadDryRun();
      reload.reload();
      loadedHash = currentHash;
      LogEvent.KEYS_ROTATED.log(LOGGER, files.certificateChain());
      return true;
    } catch (Exception unusable) {
      LogEvent.KEYS_UNUSABLE.log(
          LOGGER, files.certificateChain(), String.valueOf(unusable.getMessage()));
      return false;
    }
  }

  private HashCode hash() throws IOException {
    return Hashing.sha256()
        .newHasher()
        .putBytes(Files.toByteArray(new File(files.certificateChain())))
        .putBytes(Files.toByteArray(new File(files.privateKey())))
        .hash();
  }
}
