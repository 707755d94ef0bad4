package org.limpetring.engine.http;

import java.io.IOException;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.impl.io.HttpRequestExecutor;
import org.apache.hc.core5.http.io.HttpClientConnection;
import org.apache.hc.core5.http.io.HttpResponseInformationCallback;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.apache.hc.core5.util.Timeout;

/** Replaces the wait for the head of an answer by the permitted silence within its body. */
final class ProgressRequestExecutor extends HttpRequestExecutor {

  private static final String PROGRESS = "limpet.progress";

  /** Sets the longest silence within the body of the answer to one call. */
  static void setProgress(HttpContext context, long progressMs) {
    context.setAttribute(PROGRESS, Timeout.ofMilliseconds(progressMs));
  }

  @Override
  public ClassicHttpResponse execute(
      ClassicHttpRequest request,
      HttpClientConnection connection,
      HttpResponseInformationCallback callback,
      HttpContext context)
      throws IOException, HttpException {
    ClassicHttpResponse response = super.execute(request, connection, callback, context);
    if (context.getAttribute(PROGRESS) instanceof Timeout progress) {
      connection.setSocketTimeout(progress);
    }
    return response;
  }
}
