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

/**
 * After the response head has arrived, replaces the response timeout by the progress timeout: the
 * maximum time without a byte within the body.
 */
final class ProgressRequestExecutor extends HttpRequestExecutor {

  private static final String PROGRESS_TIMEOUT_ATTRIBUTE = "limpet.progress";

  /** Sets the progress timeout of one call. */
  static void setProgressTimeout(HttpContext context, long progressMs) {
    context.setAttribute(PROGRESS_TIMEOUT_ATTRIBUTE, Timeout.ofMilliseconds(progressMs));
  }

  @Override
  public ClassicHttpResponse execute(
      ClassicHttpRequest request,
      HttpClientConnection connection,
      HttpResponseInformationCallback callback,
      HttpContext context)
      throws IOException, HttpException {
    ClassicHttpResponse response = super.execute(request, connection, callback, context);
    if (context.getAttribute(PROGRESS_TIMEOUT_ATTRIBUTE) instanceof Timeout progressTimeout) {
      connection.setSocketTimeout(progressTimeout);
    }
    return response;
  }
}
