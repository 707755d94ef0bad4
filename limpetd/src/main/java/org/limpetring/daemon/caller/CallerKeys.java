package org.limpetring.daemon.caller;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.limpetring.base.CallerId;
import org.limpetring.tables.Caller;

/** Maps bearer keys to teams; the tables hold only the hashes of keys. */
final class CallerKeys {

  private static final String SCHEME = "Bearer ";

  private CallerKeys() {}

  /** The team that owns the key in an {@code Authorization} header, or null if there is none. */
  static @Nullable CallerId identify(@Nullable String authorization, List<Caller> callers) {
    if (authorization == null || !authorization.startsWith(SCHEME)) {
      return null;
    }
    byte[] hash = hash(authorization.substring(SCHEME.length()).trim());
    CallerId owner = null;
    for (Caller caller : callers) {
      byte[] keyHash = caller.keySha256().getBytes(StandardCharsets.US_ASCII);
      if (MessageDigest.isEqual(hash, keyHash)) {
        owner = caller.name();
      }
    }
    return owner;
  }

  private static byte[] hash(String key) {
    String hex = Hashing.sha256().hashString(key, StandardCharsets.UTF_8).toString();
    return hex.getBytes(StandardCharsets.US_ASCII);
  }
}
