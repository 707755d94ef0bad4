package org.limpetring.entry.port;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;

/** Headers of requests and answers, translated at the border. */
public interface RequestFormat {

  /** Decodes a caller's request. */
  CallerRequest read(HttpRequest head);

  /** Headers of a request to an upstream, without those of the body's length. */
  HttpHeaders upstreamHeaders(CallerRequest request, ForwardingParameters terms);

  /** Decodes the head of an upstream's answer. */
  ResponseHead readResponse(HttpResponse head);

  /** Path at which readiness is asked. */
  String readyPath();
}
