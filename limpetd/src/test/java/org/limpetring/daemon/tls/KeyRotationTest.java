package org.limpetring.daemon.tls;

import static com.google.common.truth.Truth.assertThat;

import com.codahale.metrics.MetricRegistry;
import io.dropwizard.jetty.SslReload;
import io.netty.pkitesting.CertificateBuilder;
import io.netty.pkitesting.X509Bundle;
import java.math.BigInteger;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.cert.X509Certificate;
import javax.net.ssl.SSLContext;
import javax.net.ssl.SSLSocket;
import javax.net.ssl.TrustManager;
import javax.net.ssl.X509TrustManager;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.limpetring.daemon.settings.DaemonSettings.TlsFiles;

final class KeyRotationTest {

  @TempDir Path directory = Path.of("unused");

  @Test
  void newFilesAreLoadedWithoutRestartAndInvalidFilesAreIgnored() throws Exception {
    TlsFiles files = new TlsFiles(file("chain.pem"), file("key.pem"), file("chain.pem"));
    BigInteger first = write(files);
    QueuedThreadPool threads = new QueuedThreadPool(8);
    Server server = new Server(threads);
    PemHttpsConnectorFactory factory = new PemHttpsConnectorFactory(files);
    factory.setPort(0);
    factory.setBindHost("127.0.0.1");
    server.addConnector(factory.build(server, new MetricRegistry(), "test", threads));
    server.start();
    try {
      KeyRotation rotation = new KeyRotation(files, server.getBean(SslReload.class));
      assertThat(serialOf(server)).isEqualTo(first);
      assertThat(rotation.poll()).isFalse();
      BigInteger second = write(files);
      assertThat(rotation.poll()).isTrue();
      assertThat(serialOf(server)).isEqualTo(second);
      Files.writeString(Path.of(files.privateKey()), "not a key");
      assertThat(rotation.poll()).isFalse();
      assertThat(serialOf(server)).isEqualTo(second);
    } finally {
      server.stop();
    }
  }

  private String file(String name) {
    return directory.resolve(name).toString();
  }

  private static BigInteger write(TlsFiles files) throws Exception {
    X509Bundle bundle =
        new CertificateBuilder()
            .ecp256()
            .subject("CN=daemon")
            .setIsCertificateAuthority(true)
            .buildSelfSigned();
    Files.writeString(Path.of(files.certificateChain()), bundle.getCertificatePathPEM());
    Files.writeString(Path.of(files.privateKey()), bundle.getPrivateKeyPEM());
    return bundle.getCertificate().getSerialNumber();
  }

  private static BigInteger serialOf(Server server) throws Exception {
    SSLContext context = SSLContext.getInstance("TLS");
    context.init(null, new TrustManager[] {new AnyServer()}, null);
    int port = ((ServerConnector) server.getConnectors()[0]).getLocalPort();
    try (SSLSocket socket =
        (SSLSocket) context.getSocketFactory().createSocket("127.0.0.1", port)) {
      socket.startHandshake();
      return ((X509Certificate) socket.getSession().getPeerCertificates()[0]).getSerialNumber();
    }
  }

  private static final class AnyServer implements X509TrustManager {

    @Override
    public void checkClientTrusted(X509Certificate[] chain, String type) {}

    @Override
    public void checkServerTrusted(X509Certificate[] chain, String type) {}

    @Override
    public X509Certificate[] getAcceptedIssuers() {
      return new X509Certificate[0];
    }
  }
}
