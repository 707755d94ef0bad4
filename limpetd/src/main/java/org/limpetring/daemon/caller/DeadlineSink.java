package org.limpetring.daemon.caller;

import java.io.IOException;
import org.limpetring.base.Clock;
import org.limpetring.engine.ResponseSink;

/** Records when a response begins, and aborts a try whose response exceeds its deadline. */
final class DeadlineSink implements ResponseSink {

  private final ResponseSink sink;
  private final Clock clock;
  private final long deadlineAtMs;
  private long firstPartAtMs = -1;
  private boolean deadlineExceeded;

  DeadlineSink(ResponseSink sink, Clock clock, long deadlineAtMs) {
    this.sink = sink;
    this.clock = clock;
    this.deadlineAtMs = deadlineAtMs;
  }

  /** Whether the try was aborted because its deadline passed. */
  boolean isDeadlineExceeded() {
    return deadlineExceeded;
  }

  /** Reading of the clock at the first part of the response, or -1 if there was none. */
  long firstPartAtMs() {
    return firstPartAtMs;
  }

  @Override
  public void begin(int status, String contentType) throws CallerDisconnectedException {
    sink.begin(status, contentType);
  }

  @Override
  public void part(byte[] bytes) throws CallerDisconnectedException {
    long nowMs = clock.nowMs();
    if (nowMs > deadlineAtMs) {
      deadlineExceeded = true;
      throw new CallerDisconnectedException(new IOException("deadline passed"));
    }
    if (firstPartAtMs < 0) {
      firstPartAtMs = nowMs;
    }
    sink.part(bytes);
  }
}
