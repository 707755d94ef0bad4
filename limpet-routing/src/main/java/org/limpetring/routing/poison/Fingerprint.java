package org.limpetring.routing.poison;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import org.limpetring.base.PoolName;

/**
 * Digest of a request's pool, method, path and body. The caller and its keys are excluded, so that
 * the same work is recognized whichever caller sends it.
 *
 * @param value 128 bits in hexadecimal
 */
public record Fingerprint(String value) {

  private static final HashFunction HASH = Hashing.murmur3_128();

  /** Computes the fingerprint of a request. */
  public static Fingerprint of(PoolName pool, String method, String path, byte[] body) {
    return new Fingerprint(
        HASH.newHasher()
            .putString(pool + "\n" + method + "\n" + path + "\n", StandardCharsets.UTF_8)
            .putBytes(body)
            .hash()
            .toString());
  }
}
