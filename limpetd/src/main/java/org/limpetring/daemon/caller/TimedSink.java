package org.limpetring.daemon.caller;

import java.io.IOException;
import org.limpetring.base.Clock;
import org.limpetring.engine.AnswerSink;

/** Notes when an answer begins, and ends a try whose answer goes on after its time. */
final class TimedSink implements AnswerSink {

  private final AnswerSink sink;
  private final Clock clock;
  private final long endsAtMs;
  private long firstPartMs = -1;
  private boolean late;

  TimedSink(AnswerSink sink, Clock clock, long endsAtMs) {
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
  public void begin(int status, String contentType) throws CallerGoneException {
    sink.begin(status, contentType);
  }

  @Override
  public void part(byte[] bytes) throws CallerGoneException {
    long nowMs = clock.nowMs();
    if (nowMs > endsAtMs) {
      late = true;
      throw new CallerGoneException(new IOException("time is over"));
    }
    if (firstPartMs < 0) {
      firstPartMs = nowMs;
    }
    sink.part(bytes);
  }
}
