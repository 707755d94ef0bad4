package org.limpetring.daemon.caller;

import jakarta.servlet.http.HttpServlet;
import jakarta.servlet.http.HttpServletRequest;
import jakarta.servlet.http.HttpServletResponse;
import java.io.IOException;
import java.util.UUID;
import org.jspecify.annotations.Nullable;
import org.limpetring.base.CallerId;
import org.limpetring.base.Clock;
import org.limpetring.base.Metrics;
import org.limpetring.base.RequestId;
import org.limpetring.base.ResultCode;
import org.limpetring.base.RunState;

/**
 * Reads a caller's request, rejects malformed ones and passes the others to the request path.
 *
 * <p>This is a servlet rather than a Jersey resource because the status of a response depends on
 * tries that are made while the response is being written.
 */
public final class CallerServlet extends HttpServlet {

  private static final long serialVersionUID = 1L;
  private static final String DEADLINE_HEADER = "X-Deadline-Ms";
  private static final String KEY_HEADER = "Idempotency-Key";
  private static final int MAX_KEY_LENGTH = 200;

  private final transient RequestPath path;
  private final transient Clock clock;
  private final int maxBodyBytes;

  /** Serves requests through {@code path}; bodies are limited to {@code maxBodyBytes}. */
  public CallerServlet(RequestPath path, Clock clock, int maxBodyBytes) {
    this.path = path;
    this.clock = clock;
    this.maxBodyBytes = maxBodyBytes;
  }

  @Override
  protected void service(HttpServletRequest request, HttpServletResponse response)
      throws IOException {
    RequestId id = new RequestId(UUID.randomUUID().toString());
    try {
      CallerRequest callerRequest = read(id, request);
      CallerResponse callerResponse =
          new CallerResponse(new ServletChannel(response), id, callerRequest.chat().streamed());
      path.serve(callerRequest, callerResponse);
    } catch (RefusedException refused) {
      Metrics.REFUSALS.labelValues(refused.code.name()).inc();
      new CallerResponse(new ServletChannel(response), id, false)
          .fail(refused.code, RunState.NOT_RUN, refused.detail);
    }
  }

  private CallerRequest read(RequestId id, HttpServletRequest request)
      throws IOException, RefusedException {
    long arrivedAtMs = clock.nowMs();
    CallerId caller =
        CallerKeys.identify(request.getHeader("Authorization"), path.config().routes().callers());
    if (caller == null) {
      throw new RefusedException(ResultCode.BAD_KEY, "");
    }
    long requestedDeadlineMs = readDeadline(request.getHeader(DEADLINE_HEADER));
    String key = readKey(request.getHeader(KEY_HEADER));
    byte[] body = readBody(request);
    String type = request.getContentType() == null ? "" : request.getContentType();
    ChatBody chat = readChat(type, body);
    String query = request.getQueryString() == null ? "" : "?" + request.getQueryString();
    return new CallerRequest(
        id,
        caller,
        request.getMethod(),
        request.getRequestURI() + query,
        type,
        body,
        chat,
        key,
        arrivedAtMs,
        requestedDeadlineMs);
  }

  private byte[] readBody(HttpServletRequest request) throws IOException, RefusedException {
    if (request.getContentLengthLong() > maxBodyBytes) {
      throw new RefusedException(ResultCode.BODY_TOO_LARGE, "limit " + maxBodyBytes + " bytes");
    }
    byte[] body = request.getInputStream().readNBytes(maxBodyBytes + 1);
    if (body.length > maxBodyBytes) {
      throw new RefusedException(ResultCode.BODY_TOO_LARGE, "limit " + maxBodyBytes + " bytes");
    }
    return body;
  }

  private static ChatBody readChat(String contentType, byte[] body) throws RefusedException {
    if (body.length == 0 || !contentType.startsWith("application/json")) {
      return ChatBody.PLAIN;
    }
    try {
      return ChatBody.read(body);
    } catch (IOException malformed) {
      throw new RefusedException(ResultCode.BAD_REQUEST, "body is not one JSON object");
    }
  }

  private static long readDeadline(@Nullable String header) throws RefusedException {
    if (header == null) {
      return 0;
    }
    try {
      long deadlineMs = Long.parseLong(header.trim());
      if (deadlineMs > 0) {
        return deadlineMs;
      }
    } catch (NumberFormatException malformed) {
      throw new RefusedException(ResultCode.BAD_REQUEST, DEADLINE_HEADER + " is not a number");
    }
    throw new RefusedException(ResultCode.BAD_REQUEST, DEADLINE_HEADER + " is not positive");
  }

  private static @Nullable String readKey(@Nullable String header) throws RefusedException {
    if (header == null) {
      return null;
    }
    String key = header.trim();
    if (key.isEmpty() || key.length() > MAX_KEY_LENGTH) {
      throw new RefusedException(
          ResultCode.BAD_REQUEST, KEY_HEADER + " must have 1 to " + MAX_KEY_LENGTH + " characters");
    }
    return key;
  }

  private static final class RefusedException extends Exception {

    private static final long serialVersionUID = 1L;

    private final ResultCode code;
    private final String detail;

    RefusedException(ResultCode code, String detail) {
      super(detail);
      this.code = code;
      this.detail = detail;
    }
  }
}
