package org.limpetring.standin.engine;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;

/** Deterministic text of a response: each token is a hash of the prompt and its index. */
public final class Tokens {

  private Tokens() {}

  /** Token at {@code index} of the response to {@code prompt}: 8 hexadecimal digits. */
  public static String token(String prompt, int index) {
    return Hashing.murmur3_32_fixed(index).hashString(prompt, StandardCharsets.UTF_8).toString();
  }
}
