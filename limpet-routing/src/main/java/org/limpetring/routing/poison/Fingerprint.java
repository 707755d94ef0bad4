package org.limpetring.routing.poison;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import org.limpetring.base.PoolName;

/**
 * Digest of a request's pool, method, path and body; the caller and its keys are left out, so that
 * the same work sent again by anyone is known.
 *
 * @param value 128 bits in hexadecimal
 */
public record Fingerprint(String value) {

  private static final HashFunction HASH = Hashing.murmur3_128();

  /** Digest of one request. */
  public static Fingerprint of(PoolName pool, String method, String path, byte[] body) {
    return new Fingerprint(
        HASH.newHasher()
            .putString(pool + "\n" + method + "\n" + path + "\n", StandardCharsets.UTF_8)
            .putBytes(body)
            .hash()
            .toString());
  }
}
