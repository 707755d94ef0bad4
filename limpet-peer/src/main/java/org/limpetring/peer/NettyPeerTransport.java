package org.limpetring.peer;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.jspecify.annotations.Nullable;
import org.limpetring.base.Clock;
import org.limpetring.peer.proto.Envelope;

/**
 * Transport over TCP, with mutual TLS if TLS files are configured.
 *
 * <p>Each daemon opens its own connection to each peer to which it sends; a response is sent on the
 * connection of its request.
 */
public final class NettyPeerTransport implements PeerTransport {

  private static final int EVENT_LOOP_THREADS = 2;
  private static final long STOP_TIMEOUT_MS = 2_000;

  private final PeerSettings settings;
  private final Clock clock;
  private final @Nullable PeerTlsContexts tls;
  private final EventLoopGroup eventLoops;
  private final HandlerExecutors executors;
  private final ConcurrentHashMap<PeerAddress, OutboundPeer> peers = new ConcurrentHashMap<>();
  private final AtomicLong lastCorrelation = new AtomicLong();
  private volatile @Nullable PeerServer server;
  private volatile boolean closed;

  /** Creates a transport without TLS. */
  public NettyPeerTransport(PeerSettings settings) {
    this(settings, null);
  }

  /**
   * Creates a transport with mutual TLS, or without TLS if {@code tls} is null.
   *
   * @throws IllegalArgumentException if the TLS files cannot be loaded
   */
  public NettyPeerTransport(PeerSettings settings, @Nullable PeerTls tls) {
    this.settings = settings;
    this.clock = Clock.system();
    this.tls = tls == null ? null : new PeerTlsContexts(tls, settings.connectTimeoutMs());
    this.eventLoops =
        new MultiThreadIoEventLoopGroup(
            EVENT_LOOP_THREADS,
            new DefaultThreadFactory("peer-loop", true),
            NioIoHandler.newFactory());
    this.executors = new HandlerExecutors(settings.handlerThreads());
    if (this.tls != null && tls != null) {
      var unused =
          eventLoops
              .next()
              .scheduleWithFixedDelay(
                  this.tls::reload,
                  tls.reloadIntervalMs(),
                  tls.reloadIntervalMs(),
                  TimeUnit.MILLISECONDS);
    }
  }

  @Override
  public void send(PeerAddress to, Envelope message) {
    Envelope frame =
        message.toBuilder()
            .setSender(settings.self().value())
            .clearCorrelation()
            .clearResponse()
            .build();
    peer(to).enqueue(frame, null, 0);
  }

  @Override
  public CompletableFuture<Envelope> request(PeerAddress to, Envelope message, long timeoutMs) {
    CompletableFuture<Envelope> response = new CompletableFuture<>();
    if (closed) {
      response.completeExceptionally(new PeerException(PeerFailure.CLOSED, to.toString()));
      return response;
    }
    Envelope frame =
        message.toBuilder()
            .setSender(settings.self().value())
            .setCorrelation(lastCorrelation.incrementAndGet())
            .clearResponse()
            .build();
    peer(to).enqueue(frame, response, timeoutMs);
    return response;
  }

  @Override
  public synchronized void listen(PeerHandler handler) {
    if (server != null || closed) {
      throw new IllegalStateException("transport is already listening or closed");
    }
    server = new PeerServer(settings, tls, eventLoops, executors, handler);
  }

  /** Returns the port that the transport listens on. */
  public int port() {
    PeerServer listening = server;
    if (listening == null) {
      throw new IllegalStateException("transport is not listening");
    }
    return listening.port();
  }

  /** Returns the number of open connections from peers to this daemon. */
  public int inboundConnections() {
    PeerServer listening = server;
    return listening == null ? 0 : listening.connections();
  }

  @Override
  public synchronized void close() {
    if (closed) {
      return;
    }
    closed = true;
    if (server != null) {
      server.close();
    }
    peers.values().forEach(OutboundPeer::close);
    executors.close();
    eventLoops
        .shutdownGracefully(0, STOP_TIMEOUT_MS, TimeUnit.MILLISECONDS)
        .awaitUninterruptibly(STOP_TIMEOUT_MS);
  }

  private OutboundPeer peer(PeerAddress address) {
    return peers.computeIfAbsent(
        address, to -> new OutboundPeer(to, settings, clock, eventLoops.next(), this::openChannel));
  }

  private ChannelFuture openChannel(Bootstrap bootstrap, PeerAddress to, EnvelopeHandler handler) {
    return bootstrap
        .channel(NioSocketChannel.class)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) settings.connectTimeoutMs())
        .handler(
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(Channel channel) {
                if (tls != null) {
                  channel.pipeline().addLast(tls.clientHandler(channel.alloc(), to));
                }
                PeerPipeline.install(channel, handler);
              }
            })
        .connect(to.ip(), to.port());
  }
}
