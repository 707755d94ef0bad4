package org.limpetring.entry.port;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;

/** Translation between the platform's HTTP headers and the daemon's types. */
public interface RequestFormat {

  /** Decodes a caller's request. */
  CallerRequest read(HttpRequest head);

  /** Encodes the headers of a request to an upstream, without those for the body length. */
  HttpHeaders upstreamHeaders(CallerRequest request, ForwardingParameters parameters);

  /** Decodes status and headers of an upstream's response. */
  ResponseHead readResponse(HttpResponse head);

  /** Returns the path of the readiness check. */
  String readyPath();
}
