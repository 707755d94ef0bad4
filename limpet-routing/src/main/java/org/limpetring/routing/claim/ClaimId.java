package org.limpetring.routing.claim;

import com.google.common.hash.HashCode;
import com.google.common.hash.Hashing;
import com.google.common.io.BaseEncoding;
import java.nio.charset.StandardCharsets;
import org.limpetring.base.CallerId;

/**
 * Digest of a caller and its idempotency key, so that one caller cannot claim the keys of another.
 *
 * @param value 128 bits in the URL alphabet of base 64
 */
public record ClaimId(String value) {

  /** Number of claim shards; fixed, because a key that moved to another shard could run twice. */
  public static final int SHARD_COUNT = 16;

  static final BaseEncoding BASE_64 = BaseEncoding.base64Url().omitPadding();

  /** Digest of {@code key} as used by {@code caller}. */
  public static ClaimId of(CallerId caller, IdempotencyKey key) {
    return ofOpaque(caller, key.value().toString());
  }

  /** Digest of a key that carries no creation time, as used by {@code caller}. */
  public static ClaimId ofOpaque(CallerId caller, String key) {
    HashCode hash = Hashing.murmur3_128().hashString(caller + "\n" + key, StandardCharsets.UTF_8);
    return new ClaimId(BASE_64.encode(hash.asBytes()));
  }

  /** 64-bit digest of a request's method, path and body. */
  public static String requestDigest(String method, String path, byte[] body) {
    HashCode hash =
        Hashing.murmur3_128()
            .newHasher()
            .putString(method + "\n" + path + "\n", StandardCharsets.UTF_8)
            .putBytes(body)
            .hash();
    return BASE_64.encode(hash.asBytes(), 0, Long.BYTES);
  }

  /** Index of the shard that stores the claim, from 0. */
  public int shard() {
    return Math.floorMod(value.hashCode(), SHARD_COUNT);
  }
}
