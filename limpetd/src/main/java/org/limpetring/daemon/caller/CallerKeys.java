package org.limpetring.daemon.caller;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.limpetring.base.CallerId;
import org.limpetring.tables.Caller;

/** Decides which team a bearer key belongs to; keys are known by their hashes only. */
final class CallerKeys {

  private static final String SCHEME = "Bearer ";

  private CallerKeys() {}

  /** The team whose key stands in an {@code Authorization} header, or null. */
  static @Nullable CallerId identify(@Nullable String authorization, List<Caller> callers) {
    if (authorization == null || !authorization.startsWith(SCHEME)) {
      return null;
    }
    byte[] hash = hash(authorization.substring(SCHEME.length()).trim());
    CallerId found = null;
    for (Caller caller : callers) {
      byte[] known = caller.keySha256().getBytes(StandardCharsets.US_ASCII);
      if (MessageDigest.isEqual(hash, known)) {
        found = caller.name();
      }
    }
    return found;
  }

  private static byte[] hash(String key) {
    String hex = Hashing.sha256().hashString(key, StandardCharsets.UTF_8).toString();
    return hex.getBytes(StandardCharsets.US_ASCII);
  }
}
