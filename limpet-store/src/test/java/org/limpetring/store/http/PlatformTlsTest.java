package org.limpetring.store.http;

import static com.google.common.truth.Truth.assertThat;

import com.sun.net.httpserver.HttpsConfigurator;
import com.sun.net.httpserver.HttpsParameters;
import com.sun.net.httpserver.HttpsServer;
import io.netty.pkitesting.CertificateBuilder;
import io.netty.pkitesting.X509Bundle;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import javax.net.ssl.SSLContext;
import javax.net.ssl.SSLParameters;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.limpetring.store.ReadResult;
import org.limpetring.store.WriteResult;

class PlatformTlsTest {

  private static final long REREAD_MS = 50;

  static {
    System.setProperty("sun.net.httpserver.nodelay", "true");
  }

  @TempDir Path directory = Path.of("unused");

  @Test
  void onlyTheConfiguredAuthorityIsTrustedAndFilesAreReloaded() throws Exception {
    X509Bundle authority = authority("platform");
    X509Bundle otherAuthority = authority("foreign");
    X509Bundle daemonAuthority = authority("daemons");
    HttpsServer server = server(authority, daemonAuthority);
    PlatformTls files = files(otherAuthority, daemonAuthority);
    try (HttpPlatformClient client =
        new HttpPlatformClient(
            PlatformSettings.withDefaults("https://127.0.0.1:" + server.getAddress().getPort()),
            files)) {
      HttpObjectStore store = new HttpObjectStore(client);
      assertThat(store.put("k", "v", 0)).isInstanceOf(WriteResult.Unavailable.class);
      PlatformTls validFiles = files(authority, daemonAuthority);
      Awaitility.await().until(() -> store.get("k").equals(new ReadResult.Missing(1)));
      assertThat(validFiles).isEqualTo(files);
      Files.writeString(files.caFile(), "garbage");
      Awaitility.await()
          .during(java.time.Duration.ofMillis(3 * REREAD_MS))
          .until(() -> store.get("k").equals(new ReadResult.Missing(1)));
    } finally {
      server.stop(0);
    }
  }

  @Test
  void platformRejectsADaemonWithAnUntrustedCertificate() throws Exception {
    X509Bundle authority = authority("platform");
    HttpsServer server = server(authority, authority("daemons"));
    try (HttpPlatformClient client =
        new HttpPlatformClient(
            PlatformSettings.withDefaults("https://127.0.0.1:" + server.getAddress().getPort()),
            files(authority, authority("others")))) {
      assertThat(new HttpObjectStore(client).get("k")).isInstanceOf(ReadResult.Unavailable.class);
    } finally {
      server.stop(0);
    }
  }

  private PlatformTls files(X509Bundle trusted, X509Bundle issuer) throws Exception {
    X509Bundle own = leaf("daemon", issuer);
    PlatformTls files =
        new PlatformTls(
            directory.resolve("ca"),
            directory.resolve("certificate"),
            directory.resolve("key"),
            REREAD_MS);
    Files.writeString(files.caFile(), trusted.getCertificatePEM());
    Files.writeString(directory.resolve("certificate"), own.getCertificatePathPEM());
    Files.writeString(directory.resolve("key"), own.getPrivateKeyPEM());
    return files;
  }

  private static HttpsServer server(X509Bundle issuer, X509Bundle clients) throws Exception {
    X509Bundle own = leaf("platform", issuer);
    SSLContext context =
        PemContext.build(
            bytes(clients.getCertificatePEM()),
            bytes(own.getCertificatePathPEM()),
            bytes(own.getPrivateKeyPEM()));
    HttpsServer server =
        HttpsServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    server.setHttpsConfigurator(
        new HttpsConfigurator(context) {
          @Override
          public void configure(HttpsParameters parameters) {
            SSLParameters tlsParameters = context.getDefaultSSLParameters();
            tlsParameters.setNeedClientAuth(true);
            parameters.setSSLParameters(tlsParameters);
          }
        });
    server.createContext(
        "/",
        exchange -> {
          byte[] body = bytes("{\"revision\":1}");
          exchange.sendResponseHeaders(404, body.length);
          exchange.getResponseBody().write(body);
          exchange.close();
        });
    server.start();
    return server;
  }

  private static X509Bundle authority(String name) throws Exception {
    return new CertificateBuilder()
        .ecp256()
        .subject("CN=" + name)
        .setIsCertificateAuthority(true)
        .buildSelfSigned();
  }

  private static X509Bundle leaf(String name, X509Bundle issuer) throws Exception {
    return new CertificateBuilder()
        .ecp256()
        .subject("CN=" + name)
        .addSanIpAddress("127.0.0.1")
        .buildIssuedBy(issuer);
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }
}
