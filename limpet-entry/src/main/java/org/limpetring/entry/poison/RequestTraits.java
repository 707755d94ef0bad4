package org.limpetring.entry.poison;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32C;
import org.jspecify.annotations.Nullable;

/**
 * Derives the traits of a request: what other requests may share with it and what may crash an
 * upstream.
 *
 * <p>These are the parts of its prompt but for the last one, which is its own, and a fingerprint of
 * the whole request, which only its repeats share. Traits are scoped to the model or service, since
 * a part may crash one engine and be answered by another. Callers choose the parts and their ids,
 * so number and length are limited: evidence must fit into a datagram.
 */
public final class RequestTraits {

  private static final int MAX_PARTS = 16;
  private static final int MAX_ID_LENGTH = 32;

  private RequestTraits() {}

  /**
   * Returns the traits, the most specific one last.
   *
   * @param scope model or service
   * @param promptParts ids of the parts of the prompt, in order
   * @param team the caller's team, or null
   * @param target method and URI
   */
  public static List<String> of(
      String scope,
      List<String> promptParts,
      @Nullable String team,
      String target,
      ByteBuffer body) {
    List<String> traits = new ArrayList<>(promptParts.size() + 1);
    for (int i = 0; i + 1 < promptParts.size() && i < MAX_PARTS; i++) {
      traits.add(TraitKind.PROMPT_PART.trait(scope, shortened(promptParts.get(i))));
    }
    TraitKind whole = promptParts.isEmpty() ? TraitKind.PLAIN_REQUEST : TraitKind.PROMPT;
    traits.add(whole.trait(scope, fingerprint(promptParts, team, target, body)));
    return traits;
  }

  private static String shortened(String id) {
    return id.length() <= MAX_ID_LENGTH ? id : id.substring(0, MAX_ID_LENGTH);
  }

  private static String fingerprint(
      List<String> promptParts, @Nullable String team, String target, ByteBuffer body) {
    String head = target + "\n" + team + "\n" + String.join(",", promptParts);
    CRC32C checksum = new CRC32C();
    checksum.update(head.getBytes(StandardCharsets.UTF_8));
    checksum.update(body.duplicate());
    return Long.toHexString(checksum.getValue())
        + Integer.toHexString(head.hashCode())
        + Integer.toHexString(body.remaining());
  }
}
