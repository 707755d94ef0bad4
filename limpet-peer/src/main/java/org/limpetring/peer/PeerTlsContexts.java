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
 * TLS contexts of the current files. New connections use the newest readable files; open
 * connections keep the context that they started with.
 */
final class PeerTlsContexts {

  private static final Logger LOGGER = Logger.getLogger(PeerTlsContexts.class);
  private static final String[] PROTOCOLS = {"TLSv1.3"};

  private final PeerTls files;
  private final long handshakeTimeoutMs;
  private volatile Loaded current;

  /** Reads the files; fails where they cannot be used. */
  PeerTlsContexts(PeerTls files, long handshakeTimeoutMs) {
    this.files = files;
    this.handshakeTimeoutMs = handshakeTimeoutMs;
    try {
      this.current = load(FileBytes.read(files));
    } catch (IOException | GeneralSecurityException | IllegalArgumentException unusable) {
      throw new IllegalArgumentException("TLS files of peers: " + unusable, unusable);
    }
  }

  /** Reads the files again; unusable files are counted and change nothing. */
  void reread() {
    try {
      FileBytes bytes = FileBytes.read(files);
      if (!bytes.sameAs(current.bytes)) {
        current = load(bytes);
        PeerMetrics.CONNECTIONS.labelValues("tls_rotated").inc();
      }
    } catch (IOException | GeneralSecurityException | IllegalArgumentException unusable) {
      PeerMetrics.REJECTED.labelValues("tls_files").inc();
      LogEvent.UNEXPECTED_FAILURE.log(LOGGER, "rereading TLS files", unusable);
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

  private static Loaded load(FileBytes bytes) throws IOException, GeneralSecurityException {
    PemContext.checkPair(bytes.certificate, bytes.key);
    SslContext server =
        SslContextBuilder.forServer(stream(bytes.certificate), stream(bytes.key))
            .sslProvider(SslProvider.JDK)
            .protocols(PROTOCOLS)
            .trustManager(stream(bytes.ca))
            .clientAuth(ClientAuth.REQUIRE)
            .build();
    SslContext client =
        SslContextBuilder.forClient()
            .sslProvider(SslProvider.JDK)
            .protocols(PROTOCOLS)
            .keyManager(stream(bytes.certificate), stream(bytes.key))
            .trustManager(stream(bytes.ca))
            .endpointIdentificationAlgorithm("")
            .build();
    return new Loaded(bytes, server, client);
  }

  private static InputStream stream(byte[] bytes) {
    return new ByteArrayInputStream(bytes);
  }

  private static final class Loaded {
    private final FileBytes bytes;
    private final SslContext server;
    private final SslContext client;

    Loaded(FileBytes bytes, SslContext server, SslContext client) {
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

    boolean sameAs(FileBytes other) {
      return Arrays.equals(certificate, other.certificate)
          && Arrays.equals(key, other.key)
          && Arrays.equals(ca, other.ca);
    }
  }
}
