package org.limpetring.peer;

import io.netty.buffer.ByteBufAllocator;
import io.netty.handler.ssl.ClientAuth;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import io.netty.handler.ssl.SslHandler;
import io.netty.handler.ssl.SslProvider;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.security.GeneralSecurityException;
import java.util.Arrays;
import org.jboss.logging.Logger;
import org.limpetring.base.LogEvent;
import org.limpetring.store.http.PemContext;

/**
 * TLS contexts built from the current files. New connections use the most recent valid files; open
 * connections keep the context of their handshake.
 */
final class PeerTlsContexts {

  private static final Logger LOGGER = Logger.getLogger(PeerTlsContexts.class);
  private static final String[] PROTOCOLS = {"TLSv1.3"};

  private final PeerTls files;
  private final long handshakeTimeoutMs;
  private volatile LoadedContexts current;

  /**
   * Loads the files.
   *
   * @throws IllegalArgumentException if they cannot be read or are invalid
   */
  PeerTlsContexts(PeerTls files, long handshakeTimeoutMs) {
    this.files = files;
    this.handshakeTimeoutMs = handshakeTimeoutMs;
    try {
      this.current = load(FileBytes.read(files));
    } catch (IOException | GeneralSecurityException | IllegalArgumentException invalidFiles) {
      throw new IllegalArgumentException(
          "cannot load the peer TLS files: " + invalidFiles, invalidFiles);
    }
  }

  /**
   * Reloads the files if they have changed; on invalid files, counts and keeps the old contexts.
   */
  void reload() {
    try {
      FileBytes bytes = FileBytes.read(files);
      if (!bytes.hasSameContent(current.bytes)) {
        current = load(bytes);
        PeerMetrics.CONNECTIONS.labelValues("tls_rotated").inc();
      }
    } catch (IOException | GeneralSecurityException | IllegalArgumentException invalidFiles) {
      PeerMetrics.REJECTED.labelValues("tls_files").inc();
      LogEvent.UNEXPECTED_FAILURE.log(LOGGER, "reloading TLS files", invalidFiles);
    }
  }

  SslHandler serverHandler(ByteBufAllocator allocator) {
    return withTimeout(current.server.newHandler(allocator));
  }

  SslHandler clientHandler(ByteBufAllocator allocator, PeerAddress address) {
    return withTimeout(current.client.newHandler(allocator, address.ip(), address.port()));
  }

  private SslHandler withTimeout(SslHandler handler) {
    handler.setHandshakeTimeoutMillis(handshakeTimeoutMs);
    return handler;
  }

  private static LoadedContexts load(FileBytes bytes) throws IOException, GeneralSecurityException {
    PemContext.checkPair(bytes.certificate, bytes.key);
    SslContext server =
        SslContextBuilder.forServer(inputStream(bytes.certificate), inputStream(bytes.key))
            .sslProvider(SslProvider.JDK)
            .protocols(PROTOCOLS)
            .trustManager(inputStream(bytes.ca))
            .clientAuth(ClientAuth.REQUIRE)
            .build();
    SslContext client =
        SslContextBuilder.forClient()
            .sslProvider(SslProvider.JDK)
            .protocols(PROTOCOLS)
            .keyManager(inputStream(bytes.certificate), inputStream(bytes.key))
            .trustManager(inputStream(bytes.ca))
            .endpointIdentificationAlgorithm("")
            .build();
    return new LoadedContexts(bytes, server, client);
  }

  private static InputStream inputStream(byte[] bytes) {
    return new ByteArrayInputStream(bytes);
  }

  private static final class LoadedContexts {
    private final FileBytes bytes;
    private final SslContext server;
    private final SslContext client;

    LoadedContexts(FileBytes bytes, SslContext server, SslContext client) {
      this.bytes = bytes;
      this.server = server;
      this.client = client;
    }
  }

  private static final class FileBytes {
    private final byte[] certificate;
    private final byte[] key;
    private final byte[] ca;

    private FileBytes(byte[] certificate, byte[] key, byte[] ca) {
      this.certificate = certificate;
      this.key = key;
      this.ca = ca;
    }

    static FileBytes read(PeerTls files) throws IOException {
      return new FileBytes(
          Files.readAllBytes(files.certificateFile()),
          Files.readAllBytes(files.keyFile()),
          Files.readAllBytes(files.caFile()));
    }

    boolean hasSameContent(FileBytes other) {
      return Arrays.equals(certificate, other.certificate)
          && Arrays.equals(key, other.key)
          && Arrays.equals(ca, other.ca);
    }
  }
}
