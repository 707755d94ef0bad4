package org.limpetring.entry;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpRequest;
import java.io.IOException;
import java.util.function.BooleanSupplier;
import org.limpetring.base.LogEvent;
import org.limpetring.entry.net.CallerConnection;

/** Serves the readiness check and the metrics. */
final class StatusHandler implements CallerConnection.Handler {

  private static final String METRICS_PATH = "/metrics";
  private static final int MAX_BODY_BYTES = 1_024;
  private static final int OK = 200;
  private static final int NOT_FOUND = 404;
  private static final int UNAVAILABLE = 503;

  private final String readyPath;
  private final BooleanSupplier isReady;
  private final EntryMetrics metrics;
  private final DecisionLog log;

  StatusHandler(String readyPath, BooleanSupplier isReady, EntryMetrics metrics, DecisionLog log) {
    this.readyPath = readyPath;
    this.isReady = isReady;
    this.metrics = metrics;
    this.log = log;
  }

  @Override
  public void onOpen(CallerConnection connection) {
    // no per-connection state
  }

  @Override
  public CallerConnection.RequestHandle onRequest(
      CallerConnection connection, HttpRequest head, ByteBuf body) {
    body.release();
    String path = head.uri();
    if (path.equals(readyPath)) {
      connection.respond(isReady.getAsBoolean() ? OK : UNAVAILABLE, null, Unpooled.EMPTY_BUFFER);
    } else if (path.equals(METRICS_PATH)) {
      connection.respond(OK, null, metricsText());
    } else {
      connection.respond(NOT_FOUND, null, Unpooled.EMPTY_BUFFER);
    }
    return CallerConnection.RequestHandle.NONE;
  }

  private ByteBuf metricsText() {
    try {
      return Unpooled.wrappedBuffer(metrics.text());
    } catch (IOException failure) {
      log.write(LogEvent.UNEXPECTED_FAILURE, "in", "metrics", "reason", failure.toString());
      return Unpooled.EMPTY_BUFFER;
    }
  }

  @Override
  public long maxBodyBytes() {
    return MAX_BODY_BYTES;
  }

  @Override
  public boolean isStopping() {
    return false;
  }

  @Override
  public void onClosed(CallerConnection connection) {
    // no per-connection state
  }
}
