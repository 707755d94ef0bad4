package org.limpetring.store.http;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.KeyFactory;
import java.security.KeyStore;
import java.security.PrivateKey;
import java.security.Signature;
import java.security.cert.Certificate;
import java.security.cert.CertificateFactory;
import java.security.spec.InvalidKeySpecException;
import java.security.spec.PKCS8EncodedKeySpec;
import java.util.Base64;
import java.util.Collection;
import java.util.List;
import javax.net.ssl.KeyManagerFactory;
import javax.net.ssl.SSLContext;
import javax.net.ssl.TrustManagerFactory;

/** Builds TLS contexts from PEM files and checks that private keys match their certificates. */
public final class PemContext {

  private static final byte[] SIGNATURE_PROBE = {1, 2, 3, 4};
  private static final char[] NO_PASSWORD = new char[0];
  private static final List<String> KEY_ALGORITHMS = List.of("EC", "RSA", "EdDSA");

  private PemContext() {}

  /**
   * Builds a context that trusts {@code caPem} and has no certificate of its own if {@code keyPem}
   * is empty.
   */
  static SSLContext build(byte[] caPem, byte[] certificatePem, byte[] keyPem)
      throws GeneralSecurityException, IOException {
    KeyStore trusted = emptyStore();
    int index = 0;
    for (Certificate authority : certificates(caPem)) {
      trusted.setCertificateEntry("ca-" + index++, authority);
    }
    TrustManagerFactory trust =
        TrustManagerFactory.getInstance(TrustManagerFactory.getDefaultAlgorithm());
    trust.init(trusted);
    KeyStore own = emptyStore();
    if (keyPem.length > 0) {
      checkPair(certificatePem, keyPem);
      Certificate[] chain = certificates(certificatePem).toArray(new Certificate[0]);
      own.setKeyEntry("own", privateKey(keyPem), NO_PASSWORD, chain);
    }
    KeyManagerFactory keys = KeyManagerFactory.getInstance(KeyManagerFactory.getDefaultAlgorithm());
    keys.init(own, NO_PASSWORD);
    SSLContext context = SSLContext.getInstance("TLS");
    context.init(keys.getKeyManagers(), trust.getTrustManagers(), null);
    return context;
  }

  /**
   * Checks that a private key belongs to the first certificate of a chain.
   *
   * @throws GeneralSecurityException if either is unreadable or they do not match
   */
  public static void checkPair(byte[] certificatePem, byte[] keyPem)
      throws GeneralSecurityException {
    PrivateKey key = privateKey(keyPem);
    Certificate certificate = certificates(certificatePem).iterator().next();
    String algorithm =
        switch (key.getAlgorithm()) {
          case "EC" -> "SHA256withECDSA";
          case "RSA" -> "SHA256withRSA";
          default -> key.getAlgorithm();
        };
    Signature signature = Signature.getInstance(algorithm);
    signature.initSign(key);
    signature.update(SIGNATURE_PROBE);
    byte[] signed = signature.sign();
    signature.initVerify(certificate.getPublicKey());
    signature.update(SIGNATURE_PROBE);
    if (!signature.verify(signed)) {
      throw new GeneralSecurityException("private key does not match the certificate");
    }
  }

  private static KeyStore emptyStore() throws GeneralSecurityException, IOException {
    KeyStore store = KeyStore.getInstance("PKCS12");
    store.load(null, NO_PASSWORD);
    return store;
  }

  private static Collection<? extends Certificate> certificates(byte[] pem)
      throws GeneralSecurityException {
    Collection<? extends Certificate> found =
        CertificateFactory.getInstance("X.509").generateCertificates(new ByteArrayInputStream(pem));
    if (found.isEmpty()) {
      throw new GeneralSecurityException("no certificate in PEM file");
    }
    return found;
  }

  private static PrivateKey privateKey(byte[] pem) throws GeneralSecurityException {
    String base64 =
        new String(pem, StandardCharsets.US_ASCII).replaceAll("-----[A-Z ]+-----|\\s", "");
    PKCS8EncodedKeySpec encoded;
    try {
      encoded = new PKCS8EncodedKeySpec(Base64.getDecoder().decode(base64));
    } catch (IllegalArgumentException malformed) {
      throw new GeneralSecurityException("no private key in PEM file", malformed);
    }
    for (String algorithm : KEY_ALGORITHMS) {
      try {
        return KeyFactory.getInstance(algorithm).generatePrivate(encoded);
      } catch (InvalidKeySpecException otherAlgorithm) {
        continue;
      }
    }
    throw new GeneralSecurityException("unsupported private key algorithm");
  }
}
