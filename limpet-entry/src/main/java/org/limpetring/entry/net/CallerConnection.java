package org.limpetring.entry.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import org.jspecify.annotations.Nullable;

/**
 * A caller's connection: one request at a time, in the order sent.
 *
 * <p>Requests that come while one is in progress wait here; the end of the connection is seen all
 * the while, so that a caller's leaving frees its place.
 */
public final class CallerConnection extends ChannelInboundHandlerAdapter {

  /** Messages of further requests that are kept before reading stops. */
  private static final int MAX_PIPELINED = 64;

  /** Takes whole requests. */
  public interface Handler {

    /** A connection was accepted. */
    void onOpen(CallerConnection connection);

    /** A whole request; the body belongs to the handler, which must release it. */
    RequestHandle onRequest(CallerConnection connection, HttpRequest head, ByteBuf body);

    /** Most bytes of a body. */
    long maxBodyBytes();

    /** Whether connections end after their answer. */
    boolean isStopping();

    /** The connection ended. */
    void onClosed(CallerConnection connection);
  }

  /** A request in progress. */
  public interface RequestHandle {

    /** A request that was answered at once. */
    RequestHandle NONE =
        new RequestHandle() {
          @Override
          public void onCallerDisconnected() {
            // the answer is on its way already
          }

          @Override
          public void onWritable(boolean isWritable) {
            // nothing is being read for it
          }
        };

    /** The caller left. */
    void onCallerDisconnected();

    /** The caller reads fast enough again, or no longer. */
    void onWritable(boolean isWritable);
  }

  private final Handler handler;
  private final ArrayDeque<HttpObject> pipelined = new ArrayDeque<>();
  private @Nullable ChannelHandlerContext context;
  private @Nullable HttpRequest head;
  private @Nullable CompositeByteBuf body;
  private @Nullable RequestHandle reply;
  private boolean isAnswering;
  private boolean isKept = true;
  private boolean isRefusingBody;
  private boolean isBusy;

  /** Connection whose requests go to {@code handler}. */
  public CallerConnection(Handler handler) {
    this.handler = handler;
  }

  @Override
  public void channelActive(ChannelHandlerContext active) {
    context = active;
    handler.onOpen(this);
  }

  @Override
  public void channelRead(ChannelHandlerContext reading, Object message) {
    if (!(message instanceof HttpObject object)) {
      ReferenceCountUtil.release(message);
      return;
    }
    if (isBusy || !pipelined.isEmpty()) {
      pipelined.add(object);
      if (pipelined.size() > MAX_PIPELINED) {
        reading.channel().config().setAutoRead(false);
      }
      return;
    }
    take(object);
  }

  private void take(HttpObject object) {
    try {
      if (object.decoderResult().isFailure()) {
        refuseMalformed(object.decoderResult().cause());
        return;
      }
      if (object instanceof HttpRequest request) {
        begin(request);
      }
      if (object instanceof HttpContent content && head != null) {
        add(content);
      }
    } finally {
      ReferenceCountUtil.release(object);
    }
  }

  private void begin(HttpRequest request) {
    head = request;
    isKept = HttpUtil.isKeepAlive(request);
    isRefusingBody = false;
    ChannelHandlerContext active = context();
    body = active.alloc().compositeBuffer(1_024);
    if (HttpUtil.isContentLengthSet(request)
        && HttpUtil.getContentLength(request, 0L) > handler.maxBodyBytes()) {
      refuseBody();
      return;
    }
    if (HttpUtil.is100ContinueExpected(request)) {
      Channels.send(
          active, new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
    }
  }

  private void add(HttpContent content) {
    CompositeByteBuf gathered = body;
    HttpRequest request = head;
    if (gathered == null || request == null || isRefusingBody) {
      return;
    }
    if (gathered.readableBytes() + content.content().readableBytes() > handler.maxBodyBytes()) {
      refuseBody();
      return;
    }
    if (content.content().isReadable()) {
      gathered.addComponent(true, content.content().retain());
    }
    if (content instanceof LastHttpContent) {
      body = null;
      isBusy = true;
      isAnswering = true;
      RequestHandle started = handler.onRequest(this, request, gathered);
      if (isAnswering) {
        reply = started;
      }
    }
  }

  private void refuseBody() {
    isRefusingBody = true;
    isKept = false;
    isAnswering = true;
    respond(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE.code(), null, Unpooled.EMPTY_BUFFER);
  }

  private void refuseMalformed(Throwable cause) {
    boolean isTooLong =
        cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException;
    isKept = false;
    isBusy = true;
    isAnswering = true;
    HttpResponseStatus status =
        isTooLong
            ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
            : HttpResponseStatus.BAD_REQUEST;
    respond(status.code(), null, Unpooled.EMPTY_BUFFER);
  }

  /** Sends a whole answer; takes over the body. */
  public void respond(int status, @Nullable HttpHeaders headers, ByteBuf content) {
    if (!isAnswering) {
      content.release();
      return;
    }
    FullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), content);
    if (headers != null) {
      response.headers().add(headers);
    }
    boolean hasNoBody =
        status == HttpResponseStatus.NO_CONTENT.code()
            || status == HttpResponseStatus.NOT_MODIFIED.code();
    if (!hasNoBody) {
      response.headers().set(HttpHeaderNames.CONTENT_LENGTH, content.readableBytes());
    }
    if (head != null && head.method().equals(HttpMethod.HEAD)) {
      content.clear();
    }
    setConnection(response);
    Channels.send(context(), response);
    finish();
  }

  /** Sends the head of a stream. */
  public void startStream(int status, HttpHeaders headers) {
    HttpResponse response =
        new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
    response.headers().add(headers);
    if (head != null && head.protocolVersion().equals(HttpVersion.HTTP_1_0)) {
      isKept = false;
    } else {
      response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
    }
    setConnection(response);
    Channels.write(context(), response);
  }

  /** Sends part of a stream; takes over the buffer. */
  public void stream(ByteBuf data) {
    if (!isAnswering) {
      data.release();
      return;
    }
    Channels.send(context(), new DefaultHttpContent(data));
  }

  /** Ends a stream as complete. */
  public void endStream() {
    if (isAnswering) {
      Channels.send(context(), LastHttpContent.EMPTY_LAST_CONTENT);
      finish();
    }
  }

  /** Ends the connection without completing the answer. */
  public void abort() {
    isAnswering = false;
    reply = null;
    Channels.close(context());
  }

  /** Ends the connection if no request is in progress. */
  public void closeIfIdle() {
    if (!isBusy && body == null) {
      Channels.close(context());
    }
  }

  /** Whether a request is in progress. */
  public boolean isBusy() {
    return isBusy;
  }

  private void setConnection(HttpResponse response) {
    isKept = isKept && !handler.isStopping();
    if (!isKept) {
      response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
  }

  private void finish() {
    isAnswering = false;
    reply = null;
    head = null;
    if (!isKept) {
      var unused =
          context().writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
      return;
    }
    if (!isBusy) {
      return;
    }
    isBusy = false;
    // not from within the handler's own call, which has yet to return
    context().executor().execute(this::takePipelined);
  }

  private void takePipelined() {
    while (!isBusy && !pipelined.isEmpty()) {
      take(pipelined.poll());
    }
    if (pipelined.size() <= MAX_PIPELINED) {
      context().channel().config().setAutoRead(true);
    }
  }

  private ChannelHandlerContext context() {
    if (context == null) {
      throw new IllegalStateException("connection is not open yet");
    }
    return context;
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext changed) {
    if (reply != null) {
      reply.onWritable(changed.channel().isWritable());
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext failed, Throwable cause) {
    Channels.close(failed);
  }

  @Override
  public void channelInactive(ChannelHandlerContext inactive) {
    isAnswering = false;
    RequestHandle left = reply;
    reply = null;
    if (left != null) {
      left.onCallerDisconnected();
    }
    if (body != null) {
      body.release();
      body = null;
    }
    while (!pipelined.isEmpty()) {
      ReferenceCountUtil.release(pipelined.poll());
    }
    handler.onClosed(this);
  }
}
