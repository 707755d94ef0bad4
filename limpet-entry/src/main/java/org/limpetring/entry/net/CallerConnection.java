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
 * Server side of a caller's HTTP connection; handles one request at a time, in order.
 *
 * <p>Pipelined requests are queued while one is in progress. The connection is still read, so that
 * a disconnect of the caller frees the slot of its request.
 */
public final class CallerConnection extends ChannelInboundHandlerAdapter {

  /** Queued messages of pipelined requests at which reading stops. */
  private static final int MAX_PIPELINED = 64;

  /** Receives complete requests. */
  public interface Handler {

    /** Called when a connection was accepted. */
    void onOpen(CallerConnection connection);

    /** Handles a complete request; the handler must release the body. */
    RequestHandle onRequest(CallerConnection connection, HttpRequest head, ByteBuf body);

    /** Returns the size limit of a body in bytes. */
    long maxBodyBytes();

    /** Whether connections are closed after the current response. */
    boolean isStopping();

    /** Called when the connection was closed. */
    void onClosed(CallerConnection connection);
  }

  /** Callbacks of a request in progress. */
  public interface RequestHandle {

    /** Handle of a request whose response is complete. */
    RequestHandle NONE =
        new RequestHandle() {
          @Override
          public void onCallerDisconnected() {
            // the response was sent already
          }

          @Override
          public void onWritable(boolean isWritable) {
            // there is no upstream response to pause
          }
        };

    /** Called when the caller disconnected. */
    void onCallerDisconnected();

    /** Called when the send buffer fills up or drains. */
    void onWritable(boolean isWritable);
  }

  private final Handler handler;
  private final ArrayDeque<HttpObject> pipelined = new ArrayDeque<>();
  private @Nullable ChannelHandlerContext context;
  private @Nullable HttpRequest head;
  private @Nullable CompositeByteBuf body;
  private @Nullable RequestHandle handle;
  private boolean isResponding;
  private boolean isKeepAlive = true;
  private boolean isRejectingBody;
  private boolean isBusy;

  /** Responses that are handed to the channel, with bytes that the caller has not taken yet. */
  private int unwrittenResponses;

  /** Whether only the end of the connection tells the caller that the response is complete. */
  private boolean isEndedByClose;

  /** Creates a connection that passes requests to {@code handler}. */
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
    process(object);
  }

  private void process(HttpObject object) {
    try {
      if (object.decoderResult().isFailure()) {
        rejectMalformed(object.decoderResult().cause());
        return;
      }
      if (object instanceof HttpRequest request) {
        startRequest(request);
      }
      if (object instanceof HttpContent content && head != null) {
        appendBody(content);
      }
    } finally {
      ReferenceCountUtil.release(object);
    }
  }

  private void startRequest(HttpRequest request) {
    head = request;
    isKeepAlive = HttpUtil.isKeepAlive(request);
    isRejectingBody = false;
    ChannelHandlerContext active = context();
    body = active.alloc().compositeBuffer(1_024);
    if (HttpUtil.isContentLengthSet(request)
        && HttpUtil.getContentLength(request, 0L) > handler.maxBodyBytes()) {
      rejectBody();
      return;
    }
    if (HttpUtil.is100ContinueExpected(request)) {
      Channels.send(
          active, new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
    }
  }

  private void appendBody(HttpContent content) {
    CompositeByteBuf bodyBuffer = body;
    HttpRequest request = head;
    if (bodyBuffer == null || request == null || isRejectingBody) {
      return;
    }
    if (bodyBuffer.readableBytes() + content.content().readableBytes() > handler.maxBodyBytes()) {
      rejectBody();
      return;
    }
    if (content.content().isReadable()) {
      bodyBuffer.addComponent(true, content.content().retain());
    }
    if (content instanceof LastHttpContent) {
      body = null;
      isBusy = true;
      isResponding = true;
      RequestHandle started = handler.onRequest(this, request, bodyBuffer);
      if (isResponding) {
        handle = started;
      }
    }
  }

  private void rejectBody() {
    isRejectingBody = true;
    isKeepAlive = false;
    isResponding = true;
    respond(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE.code(), null, Unpooled.EMPTY_BUFFER);
  }

  private void rejectMalformed(Throwable cause) {
    boolean isTooLong =
        cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException;
    isKeepAlive = false;
    isBusy = true;
    isResponding = true;
    HttpResponseStatus status =
        isTooLong
            ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
            : HttpResponseStatus.BAD_REQUEST;
    respond(status.code(), null, Unpooled.EMPTY_BUFFER);
  }

  /** Sends a complete response and releases the body. */
  public void respond(int status, @Nullable HttpHeaders headers, ByteBuf content) {
    if (!isResponding) {
      content.release();
      return;
    }
    FullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), content);
    if (headers != null) {
      response.headers().add(headers);
    }
    boolean isBodiless =
        status == HttpResponseStatus.NO_CONTENT.code()
            || status == HttpResponseStatus.NOT_MODIFIED.code();
    if (!isBodiless) {
      response.headers().set(HttpHeaderNames.CONTENT_LENGTH, content.readableBytes());
    }
    if (head != null && head.method().equals(HttpMethod.HEAD)) {
      content.clear();
    }
    setConnectionHeader(response);
    sendLast(response);
    finishResponse();
  }

  /** Sends status and headers of a streaming response. */
  public void startStream(int status, HttpHeaders headers) {
    HttpResponse response =
        new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
    response.headers().add(headers);
    if (head != null && head.protocolVersion().equals(HttpVersion.HTTP_1_0)) {
      isKeepAlive = false;
      isEndedByClose = true;
    } else {
      response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
    }
    setConnectionHeader(response);
    Channels.write(context(), response);
  }

  /** Sends part of a stream and releases the buffer. */
  public void stream(ByteBuf data) {
    if (!isResponding) {
      data.release();
      return;
    }
    Channels.send(context(), new DefaultHttpContent(data));
  }

  /** Completes a stream. */
  public void endStream() {
    if (isResponding) {
      sendLast(LastHttpContent.EMPTY_LAST_CONTENT);
      finishResponse();
    }
  }

  /** Sends the end of a response; the connection is in use until it is written. */
  private void sendLast(Object message) {
    unwrittenResponses++;
    var unused = context().writeAndFlush(message).addListener(written -> unwrittenResponses--);
  }

  /** Closes the connection without completing the response. */
  public void abort() {
    isResponding = false;
    handle = null;
    if (isEndedByClose) {
      Channels.reset(context());
      return;
    }
    Channels.close(context());
  }

  /** Closes the connection if no request is in progress and all responses are written. */
  public void closeIfIdle() {
    if (!isBusy() && body == null) {
      Channels.close(context());
    }
  }

  /** Whether a request is in progress or its response is not written yet. */
  public boolean isBusy() {
    return isBusy || unwrittenResponses > 0;
  }

  private void setConnectionHeader(HttpResponse response) {
    isKeepAlive = isKeepAlive && !handler.isStopping();
    if (!isKeepAlive) {
      response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
  }

  private void finishResponse() {
    isResponding = false;
    handle = null;
    head = null;
    if (!isKeepAlive) {
      var unused =
          context().writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
      return;
    }
    if (!isBusy) {
      return;
    }
    isBusy = false;
    // deferred, since the handler's call for this request may not have returned yet
    context().executor().execute(this::processPipelined);
  }

  private void processPipelined() {
    while (!isBusy && !pipelined.isEmpty()) {
      process(pipelined.poll());
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
    if (handle != null) {
      handle.onWritable(changed.channel().isWritable());
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext failed, Throwable cause) {
    Channels.close(failed);
  }

  @Override
  public void channelInactive(ChannelHandlerContext inactive) {
    isResponding = false;
    RequestHandle left = handle;
    handle = null;
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
