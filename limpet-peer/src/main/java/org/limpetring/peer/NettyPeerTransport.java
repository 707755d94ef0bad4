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
 * Transport over TCP, with mutual TLS where files for it are given.
 *
 * <p>Each daemon opens its own connection to each peer that it talks to; responses return on the
 * connection of their request.
 */
public final class NettyPeerTransport implements PeerTransport {

  private static final int LOOP_THREADS = 2;
  private static final long STOP_MS = 2_000;

  private final PeerSettings settings;
  private final Clock clock;
  private final @Nullable PeerTlsContexts tls;
  private final EventLoopGroup loops;
  private final HandlerLanes lanes;
  private final ConcurrentHashMap<PeerAddress, OutboundPeer> peers = new ConcurrentHashMap<>();
  private final AtomicLong lastCorrelation = new AtomicLong();
  private volatile @Nullable PeerServer server;
  private volatile boolean closed;

  /** Transport without TLS. */
  public NettyPeerTransport(PeerSettings settings) {
    this(settings, null);
  }

  /**
   * Transport with mutual TLS unless {@code tls} is null.
   *
   * @throws IllegalArgumentException if the files cannot be used
   */
  public NettyPeerTransport(PeerSettings settings, @Nullable PeerTls tls) {
    this.settings = settings;
    this.clock = Clock.system();
    this.tls = tls == null ? null : new PeerTlsContexts(tls, settings.connectTimeoutMs());
    this.loops =
        new MultiThreadIoEventLoopGroup(
            LOOP_THREADS, new DefaultThreadFactory("peer-loop", true), NioIoHandler.newFactory());
    this.lanes = new HandlerLanes(settings.handlerThreads());
    if (this.tls != null && tls != null) {
      var unused =
          loops
              .next()
              .scheduleWithFixedDelay(
                  this.tls::reread, tls.rereadMs(), tls.rereadMs(), TimeUnit.MILLISECONDS);
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
      throw new IllegalStateException("already listening or closed");
    }
    server = new PeerServer(settings, tls, loops, lanes, handler);
  }

  /** Port that the transport listens on. */
  public int port() {
    PeerServer listening = server;
    if (listening == null) {
      throw new IllegalStateException("not listening");
    }
    return listening.port();
  }

  /** Connections that peers hold open to this daemon. */
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
    lanes.close();
    loops.shutdownGracefully(0, STOP_MS, TimeUnit.MILLISECONDS).awaitUninterruptibly(STOP_MS);
  }

  private OutboundPeer peer(PeerAddress address) {
    return peers.computeIfAbsent(
        address, to -> new OutboundPeer(to, settings, clock, loops.next(), this::open));
  }

  private ChannelFuture open(Bootstrap bootstrap, PeerAddress to, EnvelopeHandler handler) {
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
