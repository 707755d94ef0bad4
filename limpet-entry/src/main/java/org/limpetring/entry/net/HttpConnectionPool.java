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
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
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
 * Client side of HTTP/1.1: one request at a time on a connection, idle connections kept for reuse.
 *
 * <p>A connection is reused only after the whole request was written and the whole answer read;
 * bytes that arrive while none is expected end it. All methods run on the event loop.
 */
public final class HttpConnectionPool {

  private static final int MAX_LINE_BYTES = 8_192;
  private static final int MAX_HEADER_BYTES = 65_536;
  private static final int MAX_CHUNK_BYTES = 65_536;

  /** Idle connections kept for one address; more than this many requests rarely end together. */
  private static final int MAX_IDLE_PER_ADDRESS = 8;

  /** Reuse limit where the peer names none; engines close idle connections after a few seconds. */
  private static final long DEFAULT_IDLE_MS = 2_000;

  /** The peer may close a little before the time it names. */
  private static final long IDLE_MARGIN_MS = 500;

  private static final String KEEP_ALIVE_TIMEOUT = "timeout=";

  private final EventLoop loop;
  private final Clock clock;
  private final Bootstrap bootstrap;
  private final Map<InetSocketAddress, ArrayDeque<Connection>> idle = new HashMap<>();

  /** Connections on one event loop. */
  public HttpConnectionPool(EventLoop loop, Clock clock) {
    this.loop = loop;
    this.clock = clock;
    this.bootstrap = new Bootstrap().group(loop).channel(NioSocketChannel.class);
    SocketOptions.apply(bootstrap::option);
    bootstrap.handler(
        new ChannelInitializer<Channel>() {
          @Override
          protected void initChannel(Channel channel) {
            channel
                .pipeline()
                .addLast(new HttpClientCodec(MAX_LINE_BYTES, MAX_HEADER_BYTES, MAX_CHUNK_BYTES));
          }
        });
  }

  /**
   * Sends a request; takes over the request's buffer.
   *
   * @param isFresh whether an idle connection must not be used
   */
  public Exchange send(
      InetSocketAddress address,
      FullHttpRequest request,
      boolean isFresh,
      int connectTimeoutMs,
      ExchangeListener listener) {
    Exchange exchange = new Exchange(request, listener);
    Connection reused = isFresh ? null : takeIdle(address);
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
              Connection connection = new Connection(done.channel(), address);
              done.channel().pipeline().addLast(connection);
              if (exchange.isOver) {
                request.release();
                Channels.close(done.channel());
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

  private @Nullable Connection takeIdle(InetSocketAddress address) {
    ArrayDeque<Connection> waiting = idle.get(address);
    if (waiting == null) {
      return null;
    }
    long nowMs = clock.nowMs();
    while (!waiting.isEmpty()) {
      Connection connection = waiting.pollLast();
      connection.isIdle = false;
      if (connection.channel.isActive() && nowMs < connection.idleUntilMs) {
        return connection;
      }
      Channels.close(connection.channel);
    }
    idle.remove(address);
    return null;
  }

  /** Closes idle connections whose time is over. */
  public void closeExpired() {
    long nowMs = clock.nowMs();
    for (ArrayDeque<Connection> waiting : idle.values()) {
      while (!waiting.isEmpty() && waiting.peekFirst().idleUntilMs <= nowMs) {
        Connection expired = waiting.pollFirst();
        expired.isIdle = false;
        Channels.close(expired.channel);
      }
    }
    idle.values().removeIf(ArrayDeque::isEmpty);
  }

  /** One connection and the exchange on it. */
  private final class Connection extends ChannelInboundHandlerAdapter {

    private final Channel channel;
    private final InetSocketAddress address;
    private @Nullable Exchange current;
    private boolean isKept;
    private boolean isReset;
    private boolean isSkipping;
    private long idleLimitMs = DEFAULT_IDLE_MS;
    private long idleUntilMs;
    private boolean isIdle;

    Connection(Channel channel, InetSocketAddress address) {
      this.channel = channel;
      this.address = address;
    }

    void start(Exchange exchange) {
      current = exchange;
      isKept = HttpUtil.isKeepAlive(exchange.request);
      isSkipping = false;
      exchange.channel = channel;
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
      if (exchange == null || exchange.isOver) {
        Channels.close(channel);
        return;
      }
      if (object.decoderResult().isFailure()) {
        end(SendFailure.GARBLED);
        return;
      }
      if (object instanceof HttpResponse head) {
        readHead(exchange, head);
      }
      if (object instanceof HttpContent content && !exchange.isOver) {
        readBody(exchange, content);
      }
    }

    private void readHead(Exchange exchange, HttpResponse head) {
      if (head.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
        isSkipping = true;
        return;
      }
      isSkipping = !exchange.listener.onHead(head);
      if (isSkipping) {
        isKept = false;
        return;
      }
      exchange.isResponseStarted = true;
      boolean isDelimited =
          HttpUtil.isContentLengthSet(head) || HttpUtil.isTransferEncodingChunked(head);
      isKept = isKept && HttpUtil.isKeepAlive(head) && isDelimited;
      idleLimitMs = idleLimitMs(head);
    }

    private void readBody(Exchange exchange, HttpContent content) {
      ByteBuf data = content.content();
      if (!isSkipping && data.isReadable()) {
        exchange.listener.onBody(data);
      }
      if (!(content instanceof LastHttpContent) || exchange.isOver) {
        return;
      }
      if (isSkipping) {
        isSkipping = false;
        return;
      }
      if (isReset) {
        end(SendFailure.BROKEN);
        return;
      }
      finish(exchange);
    }

    private void finish(Exchange exchange) {
      exchange.isOver = true;
      current = null;
      boolean isReusable = isKept && exchange.isWritten && channel.isActive();
      if (isReusable) {
        keep();
      }
      exchange.listener.onEnd();
      if (!isReusable) {
        Channels.close(channel);
      }
    }

    private void keep() {
      ArrayDeque<Connection> waiting = idle.computeIfAbsent(address, key -> new ArrayDeque<>());
      if (waiting.size() >= MAX_IDLE_PER_ADDRESS) {
        Connection oldest = Objects.requireNonNull(waiting.pollFirst());
        oldest.isIdle = false;
        Channels.close(oldest.channel);
      }
      idleUntilMs = clock.nowMs() + idleLimitMs;
      isIdle = true;
      waiting.addLast(this);
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
      isReset = true;
      Channels.close(channel);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      if (isIdle) {
        ArrayDeque<Connection> waiting = idle.get(address);
        if (waiting != null) {
          waiting.remove(this);
        }
      }
      end(SendFailure.BROKEN);
    }
  }

  private static long idleLimitMs(HttpResponse head) {
    String keepAlive = head.headers().get("Keep-Alive");
    if (keepAlive == null) {
      return DEFAULT_IDLE_MS;
    }
    int at = keepAlive.indexOf(KEEP_ALIVE_TIMEOUT);
    if (at < 0) {
      return DEFAULT_IDLE_MS;
    }
    int start = at + KEEP_ALIVE_TIMEOUT.length();
    int end = start;
    while (end < keepAlive.length() && Character.isDigit(keepAlive.charAt(end))) {
      end++;
    }
    if (end == start || end - start > 6) {
      return DEFAULT_IDLE_MS;
    }
    return Math.max(0, Long.parseLong(keepAlive.substring(start, end)) * 1_000 - IDLE_MARGIN_MS);
  }

  /** The event loop that owns the connections. */
  public EventLoop loop() {
    return loop;
  }
}
