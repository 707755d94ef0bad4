package org.limpetring.entry.port;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Decoded request line and headers of one attempt of a caller.
 *
 * @param id request id chosen by the caller; empty if missing
 * @param host host name from the request, without a port
 * @param uri path and query as sent
 * @param deadlineMs time limit of the caller, from the request's arrival
 * @param key the caller's key, or null
 * @param model model that the request is for, or null
 * @param promptTokens prompt length; 0 if missing
 * @param promptParts ids of the parts of the prompt, in order; other requests may share all but the
 *     last one
 * @param maxOutputTokens output limit; 0 if missing
 * @param lengthHint the caller's estimate of the output length in tokens; 0 if missing
 * @param lastEventId last event that the caller received from an earlier stream, or null
 * @param headers all headers as sent
 */
public record CallerRequest(
    String id,
    HttpMethod method,
    String host,
    String uri,
    long deadlineMs,
    @Nullable String key,
    @Nullable String model,
    int promptTokens,
    List<String> promptParts,
    int maxOutputTokens,
    int lengthHint,
    @Nullable String lastEventId,
    HttpHeaders headers) {

  /** Makes a defensive copy of the prompt parts. */
  public CallerRequest {
    promptParts = List.copyOf(promptParts);
  }

  /** Returns the path without the query. */
  public String path() {
    int query = uri.indexOf('?');
    return query < 0 ? uri : uri.substring(0, query);
  }
}
