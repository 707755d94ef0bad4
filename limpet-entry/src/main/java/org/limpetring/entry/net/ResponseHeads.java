package org.limpetring.entry.net;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;
import java.util.Map;

/**
 * Decides whether a decoded head is a response of HTTP/1.x that may be passed on.
 *
 * <p>Load pattern: a faulty upstream sends a head that the decoder accepts, but that means nothing,
 * such as status 000, and callers would get it as it is.
 */
final class ResponseHeads {

  private static final int MIN_FINAL_STATUS = 200;
  private static final int MAX_STATUS = 599;
  private static final int DELETE = 0x7f;

  private ResponseHeads() {}

  /** Whether the head is a valid interim or final response. */
  static boolean isValid(HttpResponse head) {
    return isStatusValid(head.status().code())
        && isVersionValid(head.protocolVersion())
        && !hasControl(head.status().reasonPhrase())
        && areHeadersValid(head)
        && isFramingValid(head);
  }

  /** Protocols are never switched, as no request asks for it. */
  private static boolean isStatusValid(int code) {
    boolean isFinal = code >= MIN_FINAL_STATUS && code <= MAX_STATUS;
    boolean isInterim =
        code >= HttpResponseStatus.CONTINUE.code()
            && code < MIN_FINAL_STATUS
            && code != HttpResponseStatus.SWITCHING_PROTOCOLS.code();
    return isFinal || isInterim;
  }

  private static boolean isVersionValid(HttpVersion version) {
    return version.equals(HttpVersion.HTTP_1_1) || version.equals(HttpVersion.HTTP_1_0);
  }

  private static boolean areHeadersValid(HttpResponse head) {
    for (Map.Entry<String, String> header : head.headers()) {
      if (header.getKey().isEmpty()
          || hasControl(header.getKey())
          || header.getKey().indexOf('\t') >= 0
          || header.getKey().indexOf(' ') >= 0
          || hasControl(header.getValue())) {
        return false;
      }
    }
    return true;
  }

  /** Control characters other than the tab, which separates words. */
  private static boolean hasControl(String text) {
    for (int i = 0; i < text.length(); i++) {
      char c = text.charAt(i);
      if ((c < ' ' && c != '\t') || c == DELETE) {
        return true;
      }
    }
    return false;
  }

  /** A body in another coding than chunks would be passed on without saying so. */
  private static boolean isFramingValid(HttpResponse head) {
    List<String> codings = head.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
    boolean isChunked =
        codings.size() == 1 && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(codings.get(0));
    if (!codings.isEmpty() && !isChunked) {
      return false;
    }
    List<String> lengths = head.headers().getAll(HttpHeaderNames.CONTENT_LENGTH);
    return lengths.isEmpty() || (lengths.size() == 1 && isDigits(lengths.get(0)));
  }

  private static boolean isDigits(String text) {
    return !text.isEmpty() && text.chars().allMatch(c -> c >= '0' && c <= '9');
  }
}
