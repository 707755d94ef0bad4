package org.limpetring.daemon.caller;

import java.io.IOException;
import org.limpetring.base.Clock;
import org.limpetring.engine.ResponseSink;

/** Notes when an answer begins, and ends a try whose answer goes on after its time. */
final class TimedSink implements ResponseSink {

  private final ResponseSink sink;
  private final Clock clock;
  private final long endsAtMs;
  private long firstPartMs = -1;
  private boolean late;

  TimedSink(ResponseSink sink, Clock clock, long endsAtMs) {
    this.sink = sink;
    this.clock = clock;
    this.endsAtMs = endsAtMs;
  }

  /** Whether the try was ended because its time was over. */
  boolean isLate() {
    return late;
  }

  /** Reading of the clock at the first part; -1 before it. */
  long firstPartMs() {
    return firstPartMs;
  }

  @Override
  public void begin(int status, String contentType) throws CallerDisconnectedException {
    sink.begin(status, contentType);
  }

  @Override
  public void part(byte[] bytes) throws CallerDisconnectedException {
    long nowMs = clock.nowMs();
    if (nowMs > endsAtMs) {
      late = true;
      throw new CallerDisconnectedException(new IOException("time is over"));
    }
    if (firstPartMs < 0) {
      firstPartMs = nowMs;
    }
    sink.part(bytes);
  }
}
