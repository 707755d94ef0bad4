package org.limpetring.entry.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.ScheduledFuture;
import java.io.ByteArrayOutputStream;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/** HTTP client for small calls with a timeout; buffers the complete response body. */
public final class SimpleHttpClient {

  private static final int CONNECT_TIMEOUT_MS = 400;

  private final HttpConnectionPool connections;
  private final int maxBodyBytes;

  /**
   * Creates a client on shared connections.
   *
   * @param maxBodyBytes size limit of a response body; a longer one fails the call
   */
  public SimpleHttpClient(HttpConnectionPool connections, int maxBodyBytes) {
    this.connections = connections;
    this.maxBodyBytes = maxBodyBytes;
  }

  /** Which connection a call uses. */
  public enum Connection {
    /** An idle one that other requests have used, if there is any. */
    REUSED,
    /**
     * A new one. Small calls carry no id that the response would repeat, so on a reused connection
     * a faulty peer's second copy of an earlier response is taken for this one.
     */
    FRESH
  }

  /** Sends a request; {@code done} receives the result exactly once. */
  public void call(
      Connection connection,
      InetSocketAddress address,
      HttpMethod method,
      String path,
      Consumer<HttpHeaders> addHeaders,
      byte @Nullable [] body,
      long timeoutMs,
      Consumer<CallResult> done) {
    ByteBuf content = body == null ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(body);
    FullHttpRequest request =
        new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, path, content);
    String host = address.getAddress().getHostAddress() + ":" + address.getPort();
    request.headers().set(HttpHeaderNames.HOST, host);
    if (body != null) {
      request.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
      request.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
    }
    addHeaders.accept(request.headers());
    ResponseCollector collector = new ResponseCollector(done);
    int connectTimeoutMs = (int) Math.min(timeoutMs, CONNECT_TIMEOUT_MS);
    Exchange exchange =
        connections.send(
            address, request, connection == Connection.FRESH, connectTimeoutMs, collector);
    collector.startTimer(exchange, timeoutMs);
  }

  /** Buffers one response. */
  private final class ResponseCollector implements ExchangeListener {

    private final Consumer<CallResult> done;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream(256);
    private @Nullable Exchange exchange;
    private @Nullable ScheduledFuture<?> timer;
    private int status;
    private HttpHeaders headers = EmptyHttpHeaders.INSTANCE;
    private boolean isDone;

    ResponseCollector(Consumer<CallResult> done) {
      this.done = done;
    }

    void startTimer(Exchange started, long timeoutMs) {
      exchange = started;
      if (!isDone) {
        timer = connections.loop().schedule(this::onTimeout, timeoutMs, TimeUnit.MILLISECONDS);
      }
    }

    private void onTimeout() {
      if (isDone) {
        return;
      }
      boolean isUnsent = exchange != null && !exchange.isWritten;
      if (exchange != null) {
        exchange.cancel();
      }
      complete(new CallResult.Failed(isUnsent ? SendFailure.CONNECT_TIMEOUT : SendFailure.TIMEOUT));
    }

    @Override
    public boolean onHead(HttpResponse head) {
      status = head.status().code();
      headers = head.headers();
      return true;
    }

    @Override
    public void onBody(ByteBuf data) {
      if (body.size() + data.readableBytes() > maxBodyBytes) {
        if (exchange != null) {
          exchange.cancel();
        }
        complete(new CallResult.Failed(SendFailure.GARBLED));
        return;
      }
      byte[] bytes = new byte[data.readableBytes()];
      data.readBytes(bytes);
      body.writeBytes(bytes);
    }

    @Override
    public void onEnd() {
      complete(new CallResult.Completed(status, headers, body.toByteArray()));
    }

    @Override
    public void onFailure(SendFailure failure) {
      complete(new CallResult.Failed(failure));
    }

    private void complete(CallResult result) {
      if (isDone) {
        return;
      }
      isDone = true;
      if (timer != null) {
        timer.cancel(false);
      }
      done.accept(result);
    }
  }
}
