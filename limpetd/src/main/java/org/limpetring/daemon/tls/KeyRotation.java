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
 * Puts new keys in use when their files have changed; open connections keep the old ones.
 *
 * <p>Files that cannot be used, for instance because only one of the pair was replaced so far,
 * change nothing and are tried again at the next poll.
 */
public final class KeyRotation {

  private static final Logger LOGGER = Logger.getLogger(KeyRotation.class);

  private final TlsFiles files;
  private final SslReload reload;
  private HashCode inUse;

  /** Watches {@code files}, which are in use now. */
  public KeyRotation(TlsFiles files, SslReload reload) throws IOException {
    this.files = files;
    this.reload = reload;
    this.inUse = hash();
  }

  /** Looks at the files once; returns whether new keys were put in use. */
  public boolean poll() {
    try {
      HashCode found = hash();
      if (found.equals(inUse)) {
        return false;
      }
      reload.reloadDryRun();
      reload.reload();
      inUse = found;
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
