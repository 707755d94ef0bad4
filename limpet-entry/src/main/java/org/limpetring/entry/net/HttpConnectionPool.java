package org.limpetring.entry.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import org.jspecify.annotations.Nullable;
import org.limpetring.base.Clock;

/**
 * Pool of HTTP/1.1 client connections without pipelining; idle connections are reused.
 *
 * <p>A connection is reused only after the request was written and the response read completely,
 * with no byte behind it. Bytes on an idle connection close it. Complete responses that precede the
 * awaited one are skipped up to a limit. All methods run on the event loop.
 */
public final class HttpConnectionPool {

  private static final HttpDecoderConfig DECODER_CONFIG =
      new HttpDecoderConfig()
          .setMaxInitialLineLength(8_192)
          .setMaxHeaderSize(65_536)
          .setMaxChunkSize(65_536);

  /** Bytes of other requests' responses after which a connection is given up. */
  private static final long MAX_SKIPPED_BYTES = 1_048_576;

  /** Interim responses and responses to other requests that may precede the awaited one. */
  private static final int MAX_SKIPPED_HEADS = 16;

  /** Idle connections per address; rarely do more requests than this end at the same time. */
  private static final int MAX_IDLE_PER_ADDRESS = 8;

  /** Idle timeout if the peer sends none; engines close idle connections after a few seconds. */
  private static final long DEFAULT_IDLE_TIMEOUT_MS = 2_000;

  /** Subtracted from the idle timeout of the peer, which may close slightly earlier. */
  private static final long IDLE_MARGIN_MS = 500;

  private static final String KEEP_ALIVE_TIMEOUT = "timeout=";

  private final EventLoop loop;
  private final Clock clock;
  private final Bootstrap bootstrap;
  private final Map<InetSocketAddress, ArrayDeque<Connection>> idle = new HashMap<>();

  /** Creates a pool on one event loop. */
  public HttpConnectionPool(EventLoop loop, Clock clock) {
    this.loop = loop;
    this.clock = clock;
    this.bootstrap = new Bootstrap().group(loop).channelFactory(UpstreamChannel::new);
    SocketOptions.apply(bootstrap::option);
    bootstrap.handler(
        new ChannelInitializer<Channel>() {
          @Override
          protected void initChannel(Channel channel) {
            channel
                .pipeline()
                .addLast(new HttpRequestEncoder(), new ResponseDecoder(DECODER_CONFIG));
          }
        });
  }

  /**
   * Sends a request and releases its buffer.
   *
   * @param isFresh whether to open a new connection instead of reusing an idle one
   */
  public Exchange send(
      InetSocketAddress address,
      FullHttpRequest request,
      boolean isFresh,
      int connectTimeoutMs,
      ExchangeListener listener) {
    Exchange exchange = new Exchange(request, listener);
    Connection reused = isFresh ? null : acquireIdle(address);
    if (reused != null) {
      reused.start(exchange);
      return exchange;
    }
    ChannelFuture connecting =
        bootstrap
            .clone()
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMs)
            .connect(address);
    exchange.channel = connecting.channel();
    var unused =
        connecting.addListener(
            (ChannelFuture done) -> {
              if (!done.isSuccess()) {
                request.release();
                exchange.fail(connectFailure(done.cause()));
                return;
              }
              Connection connection = new Connection((UpstreamChannel) done.channel(), address);
              done.channel().pipeline().addLast(connection);
              if (exchange.isDone) {
                request.release();
                Channels.close(done.channel());
                return;
              }
              if (!listener.isStillWanted()) {
                request.release();
                Channels.close(done.channel());
                exchange.fail(SendFailure.WITHDRAWN);
                return;
              }
              connection.start(exchange);
            });
    return exchange;
  }

  private static SendFailure connectFailure(Throwable cause) {
    boolean isRefused =
        cause instanceof ConnectException
            && !(cause instanceof io.netty.channel.ConnectTimeoutException);
    return isRefused ? SendFailure.REFUSED : SendFailure.CONNECT_TIMEOUT;
  }

  private @Nullable Connection acquireIdle(InetSocketAddress address) {
    ArrayDeque<Connection> idleConnections = idle.get(address);
    if (idleConnections == null) {
      return null;
    }
    long nowMs = clock.nowMs();
    while (!idleConnections.isEmpty()) {
      Connection connection = idleConnections.pollLast();
      connection.isIdle = false;
      if (connection.channel.isActive() && nowMs < connection.idleUntilMs) {
        return connection;
      }
      Channels.close(connection.channel);
    }
    idle.remove(address);
    return null;
  }

  /** Closes idle connections past their idle timeout. */
  public void closeExpired() {
    long nowMs = clock.nowMs();
    for (ArrayDeque<Connection> idleConnections : idle.values()) {
      while (!idleConnections.isEmpty() && idleConnections.peekFirst().idleUntilMs <= nowMs) {
        Connection expired = idleConnections.pollFirst();
        expired.isIdle = false;
        Channels.close(expired.channel);
      }
    }
    idle.values().removeIf(ArrayDeque::isEmpty);
  }

  /** A connection and its current exchange. */
  private final class Connection extends ChannelInboundHandlerAdapter {

    private final UpstreamChannel channel;
    private final InetSocketAddress address;
    private @Nullable Exchange current;
    private boolean isKeepAlive;
    private boolean isDelimited;
    private boolean isSkippingResponse;
    private int skippedHeads;
    private long skippedBytes;
    private long idleTimeoutMs = DEFAULT_IDLE_TIMEOUT_MS;
    private long idleUntilMs;
    private boolean isIdle;
    private boolean hasCarriedResponse;
    private final ResponseDecoder decoder;

    Connection(UpstreamChannel channel, InetSocketAddress address) {
      this.channel = channel;
      this.address = address;
      this.decoder = channel.pipeline().get(ResponseDecoder.class);
    }

    void start(Exchange exchange) {
      current = exchange;
      isKeepAlive = HttpUtil.isKeepAlive(exchange.request);
      isSkippingResponse = false;
      skippedHeads = 0;
      skippedBytes = 0;
      exchange.channel = channel;
      exchange.isReused = hasCarriedResponse;
      decoder.awaitResponse(exchange.request.method());
      channel.config().setAutoRead(true);
      var unused =
          channel
              .writeAndFlush(exchange.request)
              .addListener(
                  written -> {
                    if (written.isSuccess()) {
                      exchange.isWritten = true;
                      exchange.listener.onSent();
                    } else {
                      Channels.close(channel);
                    }
                  });
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      try {
        if (message instanceof HttpObject object) {
          read(object);
        }
      } finally {
        ReferenceCountUtil.release(message);
      }
    }

    private void read(HttpObject object) {
      Exchange exchange = current;
      if (exchange == null || exchange.isDone) {
        Channels.close(channel);
        return;
      }
      if (object.decoderResult().isFailure()) {
        end(SendFailure.GARBLED);
        return;
      }
      if (object instanceof HttpResponse head) {
        if (GluedHeads.isGlued(head) || !ResponseHeads.isValid(head)) {
          end(SendFailure.GARBLED);
          return;
        }
        readHead(exchange, head);
      }
      if (object instanceof HttpContent content && !exchange.isDone) {
        readBody(exchange, content);
      }
    }

    private void readHead(Exchange exchange, HttpResponse head) {
      boolean isInterim = head.status().codeClass() == HttpStatusClass.INFORMATIONAL;
      isSkippingResponse = isInterim || !exchange.listener.onHead(head);
      if (isSkippingResponse) {
        isKeepAlive = isKeepAlive && isInterim;
        if (++skippedHeads > MAX_SKIPPED_HEADS) {
          end(SendFailure.GARBLED);
        }
        return;
      }
      isDelimited = HttpUtil.isContentLengthSet(head) || HttpUtil.isTransferEncodingChunked(head);
      isKeepAlive = isKeepAlive && HttpUtil.isKeepAlive(head) && isDelimited;
      idleTimeoutMs = idleTimeoutMs(head);
    }

    private void readBody(Exchange exchange, HttpContent content) {
      ByteBuf data = content.content();
      if (isSkippingResponse) {
        skippedBytes += data.readableBytes();
        if (skippedBytes > MAX_SKIPPED_BYTES) {
          end(SendFailure.GARBLED);
          return;
        }
      } else if (data.isReadable()) {
        exchange.listener.onBody(data);
      }
      if (!(content instanceof LastHttpContent) || exchange.isDone) {
        return;
      }
      if (isSkippingResponse) {
        isSkippingResponse = false;
        return;
      }
      // on a closed channel the decoder ends a response without a length, whoever has closed it
      if (!isDelimited && !channel.isActive() && !channel.isEndedByPeer()) {
        end(SendFailure.BROKEN);
        return;
      }
      completeExchange(exchange);
    }

    private void completeExchange(Exchange exchange) {
      exchange.isDone = true;
      current = null;
      hasCarriedResponse = true;
      // bytes after the response are a second one, or none at all
      boolean hasBytesBehind = decoder.endResponse();
      boolean isReusable =
          isKeepAlive && exchange.isWritten && channel.isActive() && !hasBytesBehind;
      if (isReusable) {
        returnToPool();
      }
      exchange.listener.onEnd();
      if (!isReusable) {
        Channels.close(channel);
      }
    }

    private void returnToPool() {
      ArrayDeque<Connection> idleConnections =
          idle.computeIfAbsent(address, key -> new ArrayDeque<>());
      if (idleConnections.size() >= MAX_IDLE_PER_ADDRESS) {
        Connection oldest = Objects.requireNonNull(idleConnections.pollFirst());
        oldest.isIdle = false;
        Channels.close(oldest.channel);
      }
      idleUntilMs = clock.nowMs() + idleTimeoutMs;
      isIdle = true;
      // an idle connection is read even if its last response was paused, to see unexpected bytes
      channel.config().setAutoRead(true);
      idleConnections.addLast(this);
    }

    private void end(SendFailure failure) {
      Exchange exchange = current;
      current = null;
      Channels.close(channel);
      if (exchange != null) {
        exchange.fail(failure);
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      Channels.close(channel);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      if (isIdle) {
        ArrayDeque<Connection> idleConnections = idle.get(address);
        if (idleConnections != null) {
          idleConnections.remove(this);
        }
      }
      end(SendFailure.BROKEN);
    }
  }

  private static long idleTimeoutMs(HttpResponse head) {
    String keepAlive = head.headers().get("Keep-Alive");
    if (keepAlive == null) {
      return DEFAULT_IDLE_TIMEOUT_MS;
    }
    int at = keepAlive.indexOf(KEEP_ALIVE_TIMEOUT);
    if (at < 0) {
      return DEFAULT_IDLE_TIMEOUT_MS;
    }
    int start = at + KEEP_ALIVE_TIMEOUT.length();
    int end = start;
    while (end < keepAlive.length() && Character.isDigit(keepAlive.charAt(end))) {
      end++;
    }
    if (end == start || end - start > 6) {
      return DEFAULT_IDLE_TIMEOUT_MS;
    }
    return Math.max(0, Long.parseLong(keepAlive.substring(start, end)) * 1_000 - IDLE_MARGIN_MS);
  }

  /** Returns the event loop of the connections. */
  public EventLoop loop() {
    return loop;
  }
}
