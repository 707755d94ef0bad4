package org.limpetring.entry.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
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

/** Small HTTP calls with a time limit; the whole body is gathered. */
public final class SimpleHttpClient {

  /** Largest body that is gathered, in bytes; a page of the store holds about 1 MB. */
  private static final int MAX_BODY_BYTES = 8_388_608;

  private static final int CONNECT_TIMEOUT_MS = 400;

  private final HttpConnectionPool connections;

  /** Calls over shared connections. */
  public SimpleHttpClient(HttpConnectionPool connections) {
    this.connections = connections;
  }

  /** Sends a call; {@code done} hears its end once. */
  public void call(
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
    Gatherer gatherer = new Gatherer(done);
    int connectTimeoutMs = (int) Math.min(timeoutMs, CONNECT_TIMEOUT_MS);
    Exchange exchange = connections.send(address, request, false, connectTimeoutMs, gatherer);
    gatherer.startTimer(exchange, timeoutMs);
  }

  /** Gathers one answer. */
  private final class Gatherer implements ExchangeListener {

    private final Consumer<CallResult> done;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream(256);
    private @Nullable Exchange exchange;
    private @Nullable ScheduledFuture<?> timer;
    private int status;
    private boolean isOver;

    Gatherer(Consumer<CallResult> done) {
      this.done = done;
    }

    void startTimer(Exchange started, long timeoutMs) {
      exchange = started;
      if (!isOver) {
        timer = connections.loop().schedule(this::giveUp, timeoutMs, TimeUnit.MILLISECONDS);
      }
    }

    private void giveUp() {
      if (isOver) {
        return;
      }
      boolean isUnsent = exchange != null && !exchange.isWritten;
      if (exchange != null) {
        exchange.cancel();
      }
      end(new CallResult.Failed(isUnsent ? SendFailure.CONNECT_TIMEOUT : SendFailure.TIMEOUT));
    }

    @Override
    public boolean onHead(HttpResponse head) {
      status = head.status().code();
      return true;
    }

    @Override
    public void onBody(ByteBuf data) {
      if (body.size() + data.readableBytes() > MAX_BODY_BYTES) {
        if (exchange != null) {
          exchange.cancel();
        }
        end(new CallResult.Failed(SendFailure.GARBLED));
        return;
      }
      byte[] bytes = new byte[data.readableBytes()];
      data.readBytes(bytes);
      body.writeBytes(bytes);
    }

    @Override
    public void onEnd() {
      end(new CallResult.Completed(status, body.toByteArray()));
    }

    @Override
    public void onFailure(SendFailure failure) {
      end(new CallResult.Failed(failure));
    }

    private void end(CallResult result) {
      if (isOver) {
        return;
      }
      isOver = true;
      if (timer != null) {
        timer.cancel(false);
      }
      done.accept(result);
    }
  }
}
