package org.limpetring.store.http;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.util.Arrays;
import javax.net.ssl.SSLSocket;
import org.apache.hc.client5.http.ssl.DefaultClientTlsStrategy;
import org.apache.hc.client5.http.ssl.TlsSocketStrategy;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.jboss.logging.Logger;
import org.jspecify.annotations.Nullable;
import org.limpetring.base.LogEvent;

/**
 * Opens TLS connections with the most recent valid files; existing connections are not affected.
 */
final class ReloadingTlsStrategy implements TlsSocketStrategy {

  private static final Logger LOGGER = Logger.getLogger(ReloadingTlsStrategy.class);
  private static final byte[] EMPTY = new byte[0];

  private final PlatformTls files;
  private volatile LoadedFiles current;

  /** Loads the files; throws if they cannot be used. */
  ReloadingTlsStrategy(PlatformTls files) {
    this.files = files;
    try {
      this.current = load(read());
    } catch (IOException | GeneralSecurityException unusable) {
      throw new IllegalArgumentException(
          "cannot load the TLS files of the platform: " + unusable, unusable);
    }
  }

  @Override
  public SSLSocket upgrade(
      Socket socket, String target, int port, @Nullable Object attachment, HttpContext context)
      throws IOException {
    return current.strategy.upgrade(socket, target, port, attachment, context);
  }

  /**
   * Loads the files again if they have changed. Invalid files are logged, and the previous ones
   * stay in use.
   */
  void reload() {
    try {
      byte[][] pem = read();
      if (!Arrays.deepEquals(pem, current.pem)) {
        current = load(pem);
      }
    } catch (IOException | GeneralSecurityException unusable) {
      LogEvent.UNEXPECTED_FAILURE.log(LOGGER, "reloading TLS files", unusable);
    }
  }

  private byte[][] read() throws IOException {
    return new byte[][] {
      Files.readAllBytes(files.caFile()),
      readIfSet(files.certificateFile()),
      readIfSet(files.keyFile())
    };
  }

  private static byte[] readIfSet(@Nullable Path file) throws IOException {
    return file == null ? EMPTY : Files.readAllBytes(file);
  }

  private static LoadedFiles load(byte[][] pem) throws GeneralSecurityException, IOException {
    return new LoadedFiles(
        pem, new DefaultClientTlsStrategy(PemContext.build(pem[0], pem[1], pem[2])));
  }

  private static final class LoadedFiles {
    private final byte[][] pem;
    private final TlsSocketStrategy strategy;

    LoadedFiles(byte[][] pem, TlsSocketStrategy strategy) {
      this.pem = pem;
      this.strategy = strategy;
    }
  }
}
