package org.limpetring.entry.net;

import io.netty.handler.codec.http.HttpResponse;
import java.util.Map;
import org.limpetring.base.StatusLines;

/**
 * Decides whether a head is the beginning of one response and the rest of another.
 *
 * <p>Load pattern: a faulty upstream breaks off a second copy of an earlier response while the next
 * request is on its way. The status line of the next response then ends a line of the copy, which
 * would give that response the copy's status.
 */
final class GluedHeads {

  private static final String PROTOCOL = "HTTP";

  private GluedHeads() {}

  /** Whether another response's status line stands within the head. */
  static boolean isGlued(HttpResponse head) {
    if (!head.protocolVersion().protocolName().equals(PROTOCOL)
        || StatusLines.isIn(head.status().reasonPhrase())) {
      return true;
    }
    for (Map.Entry<String, String> header : head.headers()) {
      if (StatusLines.isIn(header.getValue())) {
        return true;
      }
    }
    return false;
  }
}
