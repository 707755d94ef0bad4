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
 * Answer to one caller, put together from one or more tries.
 *
 * <p>A stream is passed on event by event. A plain body is held back until it is whole, up to a
 * limit. An answer that fails after its first byte ends in a way that cannot be taken for a whole
 * one: a stream with an error event and without end marker, a body by a broken connection.
 */
public final class CallerAnswer {

  /** Header with the group that served. */
  static final String GROUP_HEADER = "X-Limpet-Group";

  /** Header with the host that took the request. */
  static final String UPSTREAM_HEADER = "X-Limpet-Upstream";

  /** Header that marks the stored answer of an earlier request. */
  static final String REPLAY_HEADER = "X-Limpet-Replayed";

  /** Header with the request id. */
  static final String REQUEST_HEADER = "X-Limpet-Request";

  private static final int RETRY_AFTER_S = 1;
  private static final int HELD_BYTES = 1_048_576;
  private static final byte[] END_EVENT = "data: [DONE]\n\n".getBytes(StandardCharsets.UTF_8);

  private final AnswerChannel channel;
  private final RequestId request;
  private final boolean streamed;
  private final ByteArrayOutputStream held = new ByteArrayOutputStream();
  private int status;
  private String contentType = "";
  private int deliveredEvents;
  private boolean started;
  private boolean whole;
  private boolean overflowed;

  CallerAnswer(AnswerChannel channel, RequestId request, boolean streamed) {
    this.channel = channel;
    this.request = request;
    this.streamed = streamed;
    channel.header(REQUEST_HEADER, request.value());
  }

  /** Events that the caller has, not counting the end marker; chunks of a plain body. */
  int deliveredEvents() {
    return deliveredEvents;
  }

  /** Whether a byte has gone to the caller. */
  boolean hasStarted() {
    return started;
  }

  /** Takes the answer of one try by {@code group}. */
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

  /** Sends what is held back; called once, after a try that ended whole. */
  void finish() throws IOException {
    whole = true;
    started = true;
    if (!streamed && held.size() > 0) {
      channel.write(held.toByteArray());
    }
    channel.flush();
  }

  /** HTTP status of the answer. */
  int status() {
    return status;
  }

  /** Content type of the answer. */
  String contentType() {
    return contentType;
  }

  /** Sends an answer that an earlier request with the same key got. */
  void replay(int status, String contentType, byte[] body) throws IOException {
    begin(status, contentType);
    channel.header(REPLAY_HEADER, "true");
    channel.write(body);
    channel.flush();
    started = true;
    whole = true;
  }

  /** Whole body that a repeat may be answered with; empty for streams and long bodies. */
  Optional<byte[]> wholeBody() {
    return whole && !streamed && !overflowed ? Optional.of(held.toByteArray()) : Optional.empty();
  }

  /** Ends the answer with an error. */
  void fail(ResultCode code, RunState runState, String detail) throws IOException {
    if (whole) {
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
    throw new IOException("answer broken off after its first byte");
  }

  private void beginTry(ServingGroup group, int status, String contentType) {
    if (started) {
      return;
    }
    held.reset();
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
        holdOrWrite(bytes);
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

  private void holdOrWrite(byte[] bytes) throws IOException {
    if (!started && held.size() + bytes.length <= HELD_BYTES) {
      held.write(bytes);
      return;
    }
    started = true;
    channel.write(held.toByteArray());
    channel.write(bytes);
    held.reset();
    overflowed = true;
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
    whole = true;
  }
}
