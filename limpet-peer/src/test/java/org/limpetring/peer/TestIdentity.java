package org.limpetring.peer;

import io.netty.pkitesting.CertificateBuilder;
import io.netty.pkitesting.X509Bundle;
import java.nio.file.Files;
import java.nio.file.Path;

/** Creates certificates for tests. */
final class TestIdentity {

  private TestIdentity() {}

  /** Creates a self-signed certificate authority. */
  static X509Bundle newAuthority(String name) {
    try {
      return new CertificateBuilder()
          .ecp256()
          .subject("CN=" + name)
          .setIsCertificateAuthority(true)
          .buildSelfSigned();
    } catch (Exception failure) {
      throw new IllegalStateException(failure);
    }
  }

  /** Writes a new certificate issued by {@code issuer}, its key and the trusted authorities. */
  static PeerTls writeFiles(
      Path directory, String name, X509Bundle issuer, String trustedPem, long reloadIntervalMs)
      throws Exception {
    X509Bundle certificate =
        new CertificateBuilder().ecp256().subject("CN=" + name).buildIssuedBy(issuer);
    PeerTls files =
        new PeerTls(
            directory.resolve(name + ".crt"),
            directory.resolve(name + ".key"),
            directory.resolve(name + ".ca"),
            reloadIntervalMs);
    Files.writeString(files.certificateFile(), certificate.getCertificatePathPEM());
    Files.writeString(files.keyFile(), certificate.getPrivateKeyPEM());
    Files.writeString(files.caFile(), trustedPem);
    return files;
  }
}
