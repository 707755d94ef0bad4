package org.limpetring.daemon.caller;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;
import org.limpetring.base.RequestId;
import org.limpetring.base.ResultCode;
import org.limpetring.base.RunState;
import org.limpetring.engine.ResponseSink;
import org.limpetring.groups.ServingGroup;

/**
 * Response to one caller, assembled from one or more tries.
 *
 * <p>A stream is forwarded event by event. A plain body is buffered until it is complete, up to a
 * limit. A response that fails after its first byte ends so that it cannot be mistaken for a
 * complete one: a stream gets an error event and no end marker, a body's connection is aborted.
 */
public final class CallerResponse {

  /** Header with the group that served the request. */
  static final String GROUP_HEADER = "X-Limpet-Group";

  /** Header with the group's head, which received the request. */
  static final String UPSTREAM_HEADER = "X-Limpet-Upstream";

  /** Header that marks the stored response to an earlier request. */
  static final String REPLAY_HEADER = "X-Limpet-Replayed";

  /** Header with the request id. */
  static final String REQUEST_HEADER = "X-Limpet-Request";

  private static final int RETRY_AFTER_S = 1;
  private static final int MAX_BUFFERED_BYTES = 1_048_576;
  private static final byte[] END_EVENT = "data: [DONE]\n\n".getBytes(StandardCharsets.UTF_8);

  private final ResponseChannel channel;
  private final RequestId request;
  private final boolean streamed;
  private final ByteArrayOutputStream buffer = new ByteArrayOutputStream();
  private int status;
  private String contentType = "";
  private int deliveredEvents;
  private boolean started;
  private boolean complete;
  private boolean bufferExceeded;

  CallerResponse(ResponseChannel channel, RequestId request, boolean streamed) {
    this.channel = channel;
    this.request = request;
    this.streamed = streamed;
    channel.header(REQUEST_HEADER, request.value());
  }

  /** Events sent to the caller without the end marker; for a plain body, the chunks sent. */
  int deliveredEvents() {
    return deliveredEvents;
  }

  /** Whether a byte has been sent to the caller. */
  boolean hasStarted() {
    return started;
  }

  /** Sink for the response of one try by {@code group}. */
  ResponseSink sink(ServingGroup group) {
    return new ResponseSink() {
      @Override
      public void begin(int status, String contentType) {
        beginTry(group, status, contentType);
      }

      @Override
      public void part(byte[] bytes) throws CallerDisconnectedException {
        addPart(bytes);
      }
    };
  }

  /** Sends the buffered body; called once, after a try whose response is complete. */
  void finish() throws IOException {
    complete = true;
    started = true;
    if (!streamed && buffer.size() > 0) {
      channel.write(buffer.toByteArray());
    }
    channel.flush();
  }

  /** HTTP status of the response. */
  int status() {
    return status;
  }

  /** Content type of the response. */
  String contentType() {
    return contentType;
  }

  /** Sends the stored response to an earlier request with the same key. */
  void replay(int status, String contentType, byte[] body) throws IOException {
    begin(status, contentType);
    channel.header(REPLAY_HEADER, "true");
    channel.write(body);
    channel.flush();
    started = true;
    complete = true;
  }

  /** Complete body that a retry may get; empty for streams and for bodies beyond the buffer. */
  Optional<byte[]> completeBody() {
    return complete && !streamed && !bufferExceeded
        ? Optional.of(buffer.toByteArray())
        : Optional.empty();
  }

  /** Ends the response with an error; has no effect on a complete response. */
  void fail(ResultCode code, RunState runState, String detail) throws IOException {
    if (complete) {
      return;
    }
    String body = ErrorBody.of(code, runState, detail, request).json();
    if (!started) {
      writeError(code, body);
      return;
    }
    if (streamed) {
      String event = "event: error\ndata: " + body + "\n\n";
      channel.write(event.getBytes(StandardCharsets.UTF_8));
      channel.flush();
      return;
    }
    throw new IOException("response aborted after its first byte");
  }

  private void beginTry(ServingGroup group, int status, String contentType) {
    if (started) {
      return;
    }
    buffer.reset();
    begin(status, contentType);
    channel.header(GROUP_HEADER, group.id().value());
    channel.header(UPSTREAM_HEADER, group.members().get(0).value());
  }

  private void begin(int newStatus, String newContentType) {
    status = newStatus;
    contentType = newContentType;
    channel.begin(newStatus, newContentType);
  }

  private void addPart(byte[] bytes) throws ResponseSink.CallerDisconnectedException {
    try {
      if (streamed) {
        writeEvent(bytes);
      } else {
        bufferOrWrite(bytes);
      }
    } catch (IOException gone) {
      throw new ResponseSink.CallerDisconnectedException(gone);
    }
  }

  private void writeEvent(byte[] bytes) throws IOException {
    started = true;
    channel.write(bytes);
    channel.flush();
    if (!Arrays.equals(bytes, END_EVENT)) {
      deliveredEvents++;
    }
  }

  private void bufferOrWrite(byte[] bytes) throws IOException {
    if (!started && buffer.size() + bytes.length <= MAX_BUFFERED_BYTES) {
      buffer.write(bytes);
      return;
    }
    started = true;
    channel.write(buffer.toByteArray());
    channel.write(bytes);
    buffer.reset();
    bufferExceeded = true;
    deliveredEvents++;
  }

  private void writeError(ResultCode code, String body) throws IOException {
    channel.reset();
    channel.header(REQUEST_HEADER, request.value());
    channel.begin(code.httpStatus(), "application/json");
    if (code.retry() == ResultCode.Retry.LATER) {
      channel.header("Retry-After", Integer.toString(RETRY_AFTER_S));
    }
    channel.write(body.getBytes(StandardCharsets.UTF_8));
    channel.flush();
    started = true;
    complete = true;
  }
}
