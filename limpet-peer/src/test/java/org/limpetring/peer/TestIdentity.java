package org.limpetring.peer;

import io.netty.pkitesting.CertificateBuilder;
import io.netty.pkitesting.X509Bundle;
import java.nio.file.Files;
import java.nio.file.Path;

/** Certificates for tests. */
final class TestIdentity {

  private TestIdentity() {}

  /** New authority that signs itself. */
  static X509Bundle authority(String name) {
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

  /** Writes a new certificate of {@code issuer}, its key and the trusted authorities. */
  static PeerTls files(
      Path directory, String name, X509Bundle issuer, String trustedPem, long rereadMs)
      throws Exception {
    X509Bundle leaf = new CertificateBuilder().ecp256().subject("CN=" + name).buildIssuedBy(issuer);
    PeerTls files =
        new PeerTls(
            directory.resolve(name + ".crt"),
            directory.resolve(name + ".key"),
            directory.resolve(name + ".ca"),
            rereadMs);
    Files.writeString(files.certificateFile(), leaf.getCertificatePathPEM());
    Files.writeString(files.keyFile(), leaf.getPrivateKeyPEM());
    Files.writeString(files.caFile(), trustedPem);
    return files;
  }
}
