package org.limpetring.daemon.tls;

import io.dropwizard.jetty.HttpsConnectorFactory;
import io.netty.handler.ssl.JdkSslContext;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import io.netty.handler.ssl.SslProvider;
import java.io.File;
import java.util.Objects;
import javax.net.ssl.SSLException;
import org.eclipse.jetty.util.ssl.SslContextFactory;
import org.jspecify.annotations.Nullable;
import org.limpetring.daemon.settings.DaemonSettings.TlsFiles;

/** HTTPS connector for callers, with key and certificate from PEM files. */
public final class PemHttpsConnectorFactory extends HttpsConnectorFactory {

  private final @Nullable TlsFiles files;

  /** Required by Dropwizard's reflection; not used otherwise. */
  public PemHttpsConnectorFactory() {
    this.files = null;
  }

  /** Connector with the key and certificate of {@code files}. */
  public PemHttpsConnectorFactory(TlsFiles files) {
    this.files = files;
  }

  @Override
  protected SslContextFactory.Server configureSslContextFactory(SslContextFactory factory) {
    SslContextFactory.Server server = (SslContextFactory.Server) factory;
    TlsFiles present = Objects.requireNonNull(files);
    try {
      SslContext context =
          SslContextBuilder.forServer(
                  new File(present.certificateChain()), new File(present.privateKey()))
              .sslProvider(SslProvider.JDK)
              .build();
      server.setSslContext(((JdkSslContext) context).context());
    } catch (SSLException | IllegalArgumentException unusable) {
      throw new IllegalArgumentException(
          "TLS files for callers cannot be used: " + unusable.getMessage(), unusable);
    }
    return server;
  }
}
