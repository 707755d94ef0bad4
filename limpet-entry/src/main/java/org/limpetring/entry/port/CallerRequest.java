package org.limpetring.entry.port;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import org.jspecify.annotations.Nullable;

/**
 * Head of one attempt of a caller.
 *
 * @param id chosen by the caller; empty if it sent none
 * @param host the caller's name for the system, without a port
 * @param uri path and query as sent
 * @param deadlineMs time that the caller will wait, from the request's arrival
 * @param key the caller's key, or null
 * @param model model that the request is for, or null
 * @param promptTokens tokens to read; 0 if not told
 * @param maxOutputTokens most tokens to write; 0 if not told
 * @param lengthHint the caller's estimate of the tokens to write; 0 if not told
 * @param lastEventId last event that the caller has of an earlier stream, or null
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
    int maxOutputTokens,
    int lengthHint,
    @Nullable String lastEventId,
    HttpHeaders headers) {

  /** The path without the query. */
  public String path() {
    int query = uri.indexOf('?');
    return query < 0 ? uri : uri.substring(0, query);
  }
}
