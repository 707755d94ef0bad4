package org.limpetring.entry.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpResponse;
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
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.limpetring.entry.model.CallerLimits;

/**
 * Server side of a caller's HTTP connection; handles one request at a time, in order.
 *
 * <p>The bytes of pipelined requests are kept, undecoded, until the response before was written.
 * The connection is still read up to a limit, so that a disconnect of the caller frees the slot of
 * its request. All that the connection holds counts against the memory for callers.
 */
public final class CallerConnection extends ChannelInboundHandlerAdapter
    implements CallerDecoder.Owner {

  /**
   * Bytes of a header field besides its text: an entry here and one in the copy for the upstream,
   * and two strings.
   */
  private static final int FIELD_BYTES = 192;

  /** Capacity of a body that has just begun, unless more has arrived or less is announced. */
  private static final int INITIAL_BODY_BYTES = 4_096;

  /**
   * Parts in which a response is handed to the channel; the socket's native code copies a whole
   * part each time, however little of it the caller takes.
   */
  private static final int WRITE_BYTES = 65_536;

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

          @Override
          public void onMemoryNeeded() {
            // there is nothing to end
          }
        };

    /** Called when the caller disconnected. */
    void onCallerDisconnected();

    /** Called when the send buffer fills up or drains. */
    void onWritable(boolean isWritable);

    /** Called when the request must end, since other requests need its memory. */
    void onMemoryNeeded();
  }

  private final Handler handler;
  private final CallerConnections connections;
  private final CallerDecoder decoder;
  private final CallerEncoder encoder;
  private final BufferBudget.Account account;
  private final SlowCallerRule slowReader = new SlowCallerRule();
  private @Nullable ChannelHandlerContext context;
  private @Nullable HttpRequest head;
  private @Nullable ByteBuf body;
  private @Nullable RequestHandle handle;
  private boolean isResponding;
  private boolean isKeepAlive = true;
  private boolean isBusy;

  /** Responses that are handed to the channel, with bytes that the caller has not taken yet. */
  private int unwrittenResponses;

  /** Whether only the end of the connection tells the caller that the response is complete. */
  private boolean isEndedByClose;

  /** Whether the connection is closed as soon as what was written is on its way. */
  private boolean isEnding;

  /** Whether a request was received completely. */
  private boolean hasServed;

  /** Whether the memory was given to others and the consequence is yet to come. */
  private boolean isEvicted;

  private boolean isResuming;
  private boolean isClosed;

  /** Whether decoding goes on in the next turn of the event loop. */
  private boolean isYielding;

  /** Length of the body as its head announces it, or -1. */
  private long announcedBytes = -1;

  private SlowCallerRule.Phase phase = SlowCallerRule.Phase.IDLE;
  private long phaseStartMs;
  private long lastActiveMs;
  private long takenBytes;

  // what the connection holds, in bytes

  private long undecodedBytes;
  private long headBytes;

  /** Capacity of the body of the request in progress, which its handler releases. */
  private long bodyBytes;

  private long unreadBytes;

  /** Capacity of a complete response body, which is released only when all of it was written. */
  private long responseBytes;

  /** Creates a connection that passes requests to {@code handler}. */
  CallerConnection(Handler handler, CallerConnections connections) {
    this.handler = handler;
    this.connections = connections;
    this.decoder = new CallerDecoder(connections.limits().maxHeaderBytes(), this);
    this.encoder = new CallerEncoder();
    this.account = connections.shared().budget().open(this::onEvicted, this::weight);
  }

  CallerDecoder decoder() {
    return decoder;
  }

  CallerEncoder encoder() {
    return encoder;
  }

  @Override
  public void channelActive(ChannelHandlerContext active) {
    context = active;
    if (active.channel() instanceof CallerChannel channel) {
      channel.setOnWritten(this::onWritten);
    }
    lastActiveMs = connections.nowMs();
    phaseStartMs = lastActiveMs;
    handler.onOpen(this);
    connections.onOpen(this);
  }

  // memory, time and number of connections

  @Override
  public boolean onHeadComplete(int bytes, int lines) {
    headBytes = 2L * bytes + (long) FIELD_BYTES * lines;
    return holdOrRefuse();
  }

  @Override
  public void onHeadTooLarge() {
    fault(CallerFault.HEAD_TOO_LARGE);
    refuse(HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE);
  }

  @Override
  public void onRead(int undecoded) {
    long nowMs = connections.nowMs();
    lastActiveMs = nowMs;
    if (undecoded > 0 && phase == SlowCallerRule.Phase.IDLE) {
      enter(SlowCallerRule.Phase.HEAD, nowMs);
    } else if (undecoded == 0 && phase == SlowCallerRule.Phase.HEAD) {
      enter(SlowCallerRule.Phase.IDLE, nowMs);
    }
    if (undecoded == undecodedBytes || isEnding) {
      return;
    }
    undecodedBytes = undecoded;
    boolean isPipeliningTooMuch =
        undecoded > connections.shared().callerLimits().maxPipelinedBytes()
            && (isBusy || isResuming);
    if (isPipeliningTooMuch && context().channel().config().isAutoRead()) {
      context().channel().config().setAutoRead(false);
      fault(CallerFault.PIPELINE_FULL);
    }
    holdOrRefuse();
  }

  @Override
  public void onYield() {
    if (isEnding || isYielding) {
      return;
    }
    isYielding = true;
    context().channel().config().setAutoRead(false);
    var unused = context().executor().schedule(this::decodeMore, 0, TimeUnit.NANOSECONDS);
  }

  private void decodeMore() {
    isYielding = false;
    if (isEnding) {
      return;
    }
    context().pipeline().fireChannelRead(Unpooled.EMPTY_BUFFER);
    if (!isYielding) {
      context().channel().config().setAutoRead(true);
    }
  }

  private void enter(SlowCallerRule.Phase next, long nowMs) {
    phase = next;
    phaseStartMs = nowMs;
  }

  private long heldBytes() {
    long unread = unreadBytes == 0 ? 0 : Math.max(unreadBytes, responseBytes);
    return undecodedBytes + headBytes + (body == null ? bodyBytes : body.capacity()) + unread;
  }

  /** Sets the account to what is held; returns false if there is no memory for it. */
  private boolean hold() {
    return isEvicted || isClosed || account.tryHold(heldBytes());
  }

  private boolean holdOrRefuse() {
    if (hold()) {
      return true;
    }
    giveWay();
    return false;
  }

  private double weight() {
    boolean isWaitingForCaller =
        unreadBytes > 0 || phase == SlowCallerRule.Phase.HEAD || phase == SlowCallerRule.Phase.BODY;
    return GiveWayRule.weight(isWaitingForCaller, connections.nowMs() - lastActiveMs);
  }

  /** Deferred, since the event that needs the memory may be this connection's own. */
  private void onEvicted() {
    isEvicted = true;
    if (body != null) {
      body.release();
      body = null;
    }
    context().executor().execute(this::giveWayEvicted);
  }

  private void giveWayEvicted() {
    isEvicted = false;
    giveWay();
  }

  /** Ends what holds the memory of this connection. */
  private void giveWay() {
    if (isEnding && unreadBytes == 0) {
      return;
    }
    if (unreadBytes > 0) {
      end(CallerFault.MEMORY_FULL);
      return;
    }
    fault(CallerFault.MEMORY_FULL);
    RequestHandle ending = handle;
    if (ending != null) {
      ending.onMemoryNeeded();
    } else if (phase != SlowCallerRule.Phase.IN_PROGRESS) {
      refuse(HttpResponseStatus.SERVICE_UNAVAILABLE);
    }
  }

  private void fault(CallerFault fault) {
    connections
        .shared()
        .faults()
        .onFault(fault, String.valueOf(context().channel().remoteAddress()), heldBytes());
  }

  /** Closes the connection for a fault of the caller; a request in progress is cancelled. */
  void end(CallerFault fault) {
    if (!context().channel().isOpen()) {
      return;
    }
    fault(fault);
    isEnding = true;
    decoder.discard();
    if (unreadBytes > 0) {
      // what is buffered in the kernel is dropped too, and a cut stream never looks complete
      Channels.reset(context());
    } else {
      Channels.close(context());
    }
  }

  /** Closes the connection if its caller is too slow. */
  void checkTime(long nowMs) {
    CallerLimits callerLimits = connections.shared().callerLimits();
    if (slowReader.isNotReading(unreadBytes, takenBytes, nowMs, callerLimits.unreadTimeoutMs())) {
      end(CallerFault.NOT_READING);
      return;
    }
    CallerFault fault =
        SlowCallerRule.slowRequest(
            phase, nowMs - phaseStartMs, nowMs - lastActiveMs, connections.limits(), callerLimits);
    if (fault != null && !isEnding) {
      end(fault);
    }
  }

  /** Order in which connections are closed when there are too many; the lowest first. */
  int giveWayRank() {
    return isEnding ? GiveWayRule.NEVER : GiveWayRule.rank(phase, hasServed, unreadBytes > 0);
  }

  long lastActiveMs() {
    return lastActiveMs;
  }

  /** Called when the socket has taken bytes or has refused to. */
  private void onWritten() {
    if (context().channel() instanceof CallerChannel channel) {
      if (channel.writtenBytes() > takenBytes) {
        lastActiveMs = connections.nowMs();
      }
      takenBytes = channel.writtenBytes();
    }
    measureUnread();
  }

  private void measureUnread() {
    long unread =
        context().channel() instanceof CallerChannel channel ? channel.unwrittenBytes() : 0;
    if (unread == unreadBytes) {
      return;
    }
    unreadBytes = unread;
    if (!hold()) {
      // deferred, since the channel may be writing
      isEvicted = true;
      account.release();
      context().executor().execute(this::giveWayEvicted);
    }
  }

  // requests

  @Override
  public void channelRead(ChannelHandlerContext from, Object message) {
    if (isEnding || !(message instanceof HttpObject object)) {
      ReferenceCountUtil.release(message);
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
    encoder.setHeadRequest(request.method().equals(HttpMethod.HEAD));
    enter(SlowCallerRule.Phase.BODY, connections.nowMs());
    announcedBytes =
        HttpUtil.isContentLengthSet(request) ? HttpUtil.getContentLength(request, 0L) : -1;
    if (announcedBytes > handler.maxBodyBytes()) {
      rejectBody();
      return;
    }
    if (HttpUtil.is100ContinueExpected(request)) {
      Channels.send(
          context(),
          new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
    }
  }

  private void appendBody(HttpContent content) {
    HttpRequest request = head;
    if (request == null || isEnding || isEvicted) {
      return;
    }
    int added = content.content().readableBytes();
    long length = added + (body == null ? 0L : body.readableBytes());
    if (length > handler.maxBodyBytes()) {
      rejectBody();
      return;
    }
    if (added > 0) {
      ByteBuf buffer = bodyWithRoom(added, content instanceof LastHttpContent);
      if (buffer == null) {
        giveWay();
        return;
      }
      buffer.writeBytes(content.content());
    }
    if (content instanceof LastHttpContent) {
      ByteBuf complete = body == null ? Unpooled.EMPTY_BUFFER : body;
      bodyBytes = complete.capacity();
      body = null;
      isBusy = true;
      isResponding = true;
      hasServed = true;
      enter(SlowCallerRule.Phase.IN_PROGRESS, connections.nowMs());
      decoder.setPaused(true);
      RequestHandle started = handler.onRequest(this, request, complete);
      if (isResponding) {
        handle = started;
      }
    }
  }

  /** Returns the body with room for {@code added} bytes, or null if there is no memory for it. */
  private @Nullable ByteBuf bodyWithRoom(int added, boolean isLast) {
    ByteBuf buffer = body;
    if (buffer != null && buffer.writableBytes() >= added) {
      return buffer;
    }
    int length = added + (buffer == null ? 0 : buffer.readableBytes());
    long limit = announcedBytes >= 0 ? announcedBytes : handler.maxBodyBytes();
    long wanted = buffer == null ? INITIAL_BODY_BYTES : 2L * buffer.capacity();
    int capacity = (int) Math.max(length, Math.min(wanted, isLast ? length : limit));
    long held = heldBytes() - (buffer == null ? bodyBytes : buffer.capacity());
    if (isEvicted || !account.tryHold(held + capacity)) {
      return null;
    }
    if (buffer == null) {
      buffer = context().alloc().heapBuffer(capacity);
      body = buffer;
    } else {
      buffer.capacity(capacity);
    }
    return buffer;
  }

  private void rejectBody() {
    fault(CallerFault.BODY_TOO_LARGE);
    refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
  }

  private void rejectMalformed(Throwable cause) {
    boolean isTooLong =
        cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException;
    if (isTooLong) {
      fault(CallerFault.HEAD_TOO_LARGE);
    }
    refuse(
        isTooLong
            ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
            : HttpResponseStatus.BAD_REQUEST);
  }

  /** Refuses a request that has not run, and closes the connection. */
  private void refuse(HttpResponseStatus status) {
    if (isEnding) {
      return;
    }
    isEnding = true;
    decoder.discard();
    if (body != null) {
      body.release();
      body = null;
    }
    bodyBytes = 0;
    isKeepAlive = false;
    isBusy = true;
    isResponding = true;
    HttpHeaders headers = null;
    if (status.equals(HttpResponseStatus.SERVICE_UNAVAILABLE)) {
      headers = new DefaultHttpHeaders().set(HttpHeaderNames.RETRY_AFTER, "1");
    }
    respond(status.code(), headers, Unpooled.EMPTY_BUFFER);
  }

  /** Sends a complete response and releases the body. */
  public void respond(int status, @Nullable HttpHeaders headers, ByteBuf content) {
    if (!isResponding) {
      content.release();
      return;
    }
    boolean isLong = content.readableBytes() > WRITE_BYTES;
    HttpResponse response =
        isLong
            ? new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status))
            : new DefaultFullHttpResponse(
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
    responseBytes = content.capacity();
    if (isLong) {
      Channels.write(context(), response);
      while (content.isReadable()) {
        int part = Math.min(WRITE_BYTES, content.readableBytes());
        Channels.write(context(), new DefaultHttpContent(content.readRetainedSlice(part)));
      }
      content.release();
      sendLast(LastHttpContent.EMPTY_LAST_CONTENT);
    } else {
      sendLast(response);
    }
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
    measureUnread();
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
    var unused = context().writeAndFlush(message).addListener(written -> onResponseWritten());
    measureUnread();
  }

  private void onResponseWritten() {
    unwrittenResponses--;
    if (unwrittenResponses == 0) {
      responseBytes = 0;
      if (!isBusy && !isEnding) {
        awaitRequest();
      }
    }
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
    if (!isBusy() && head == null) {
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
    headBytes = 0;
    bodyBytes = 0;
    hold();
    if (!isKeepAlive) {
      isEnding = true;
      decoder.discard();
      var unused =
          context().writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
      return;
    }
    if (!isBusy) {
      return;
    }
    isBusy = false;
    if (unwrittenResponses == 0) {
      awaitRequest();
    }
  }

  /** The response was written, so the next request may be decoded, in its turn. */
  private void awaitRequest() {
    if (isResuming) {
      return;
    }
    enter(SlowCallerRule.Phase.IDLE, connections.nowMs());
    isResuming = true;
    if (decoder.hasUndecoded()) {
      // scheduled instead of executed, so that other connections are read in between
      var unused = context().executor().schedule(this::resume, 0, TimeUnit.NANOSECONDS);
    } else {
      resume();
    }
  }

  private void resume() {
    isResuming = false;
    decoder.setPaused(false);
    if (decoder.hasUndecoded() && !isEnding) {
      enter(SlowCallerRule.Phase.HEAD, connections.nowMs());
      context().pipeline().fireChannelRead(Unpooled.EMPTY_BUFFER);
    }
    boolean isRoomForMore =
        !isBusy || undecodedBytes <= connections.shared().callerLimits().maxPipelinedBytes();
    if (isRoomForMore && !context().channel().config().isAutoRead()) {
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
    isEnding = true;
    isClosed = true;
    unreadBytes = 0;
    decoder.discard();
    account.release();
    connections.onClosed(this);
    handler.onClosed(this);
  }
}
