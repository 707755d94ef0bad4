package org.limpetring.peer;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.timeout.IdleStateHandler;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import org.jboss.logging.Logger;
import org.jspecify.annotations.Nullable;
import org.limpetring.base.DaemonId;
import org.limpetring.base.LogEvent;
import org.limpetring.peer.proto.Envelope;
import org.limpetring.peer.proto.Heartbeat;

/** Accepts connections from peers, passes their messages to the handler and writes responses. */
final class PeerServer {

  private static final Logger LOGGER = Logger.getLogger(PeerServer.class);
  private static final int WRITE_BUFFER_LOW_BYTES = 1024 * 1024;
  private static final int WRITE_BUFFER_HIGH_BYTES = 4 * 1024 * 1024;

  private final PeerSettings settings;
  private final @Nullable PeerTlsContexts tls;
  private final HandlerExecutors executors;
  private final PeerHandler handler;
  private final ChannelGroup acceptedChannels =
      new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
  private final Channel listener;

  PeerServer(
      PeerSettings settings,
      @Nullable PeerTlsContexts tls,
      EventLoopGroup eventLoops,
      HandlerExecutors executors,
      PeerHandler handler) {
    this.settings = settings;
    this.tls = tls;
    this.executors = executors;
    this.handler = handler;
    this.listener =
        new ServerBootstrap()
            .group(eventLoops)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(
                ChannelOption.WRITE_BUFFER_WATER_MARK,
                new WriteBufferWaterMark(WRITE_BUFFER_LOW_BYTES, WRITE_BUFFER_HIGH_BYTES))
            .childHandler(new ConnectionInitializer())
            .bind(settings.bindIp(), settings.port())
            .syncUninterruptibly()
            .channel();
  }

  int port() {
    return ((InetSocketAddress) listener.localAddress()).getPort();
  }

  int connections() {
    return acceptedChannels.size();
  }

  void close() {
    listener.close().syncUninterruptibly();
    acceptedChannels.close().awaitUninterruptibly(settings.connectTimeoutMs());
  }

  private final class ConnectionInitializer extends ChannelInitializer<Channel> {
    @Override
    protected void initChannel(Channel channel) {
      if (acceptedChannels.size() >= settings.maxInboundConnections()) {
        PeerMetrics.REJECTED.labelValues(FrameError.TOO_MANY_CONNECTIONS.label()).inc();
        var unused = channel.close();
        return;
      }
      acceptedChannels.add(channel);
      PeerMetrics.CONNECTIONS.labelValues("accepted").inc();
      if (tls != null) {
        channel.pipeline().addLast(tls.serverHandler(channel.alloc()));
      }
      channel
          .pipeline()
          .addLast(
              new IdleStateHandler(
                  settings.idleTimeoutMs() + settings.silenceTimeoutMs(),
                  0,
                  0,
                  TimeUnit.MILLISECONDS));
      PeerPipeline.install(channel, new RequestHandler());
    }
  }

  private final class RequestHandler extends EnvelopeHandler {
    @Override
    void onEnvelope(ChannelHandlerContext context, Envelope message) {
      if (message.hasHeartbeat()) {
        write(context.channel(), heartbeat(settings.self()));
        return;
      }
      executors.run(message, () -> respond(context.channel(), message));
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
      if (event instanceof io.netty.handler.timeout.IdleStateEvent) {
        var unused = context.close();
      }
    }
  }

  private static Envelope heartbeat(DaemonId self) {
    return Envelope.newBuilder()
        .setSender(self.value())
        .setResponse(true)
        .setHeartbeat(Heartbeat.getDefaultInstance())
        .build();
  }

  private void respond(Channel channel, Envelope message) {
    @Nullable Envelope response;
    try {
      response = handler.handle(message);
    } catch (RuntimeException failure) {
      LogEvent.UNEXPECTED_FAILURE.log(LOGGER, "peer handler", failure);
      return;
    }
    if (response == null || message.getCorrelation() == 0) {
      return;
    }
    write(
        channel,
        response.toBuilder()
            .setSender(settings.self().value())
            .setCorrelation(message.getCorrelation())
            .setResponse(true)
            .build());
  }

  private static void write(Channel channel, Envelope response) {
    if (response.getSerializedSize() > PeerSettings.MAX_FRAME_BYTES) {
      PeerMetrics.DROPPED.labelValues("response_too_large").inc();
      return;
    }
    if (!channel.isWritable()) {
      PeerMetrics.DROPPED.labelValues("response_queue_full").inc();
      return;
    }
    EnvelopeHandler.count(response, "out");
    var unused = channel.writeAndFlush(response, channel.voidPromise());
  }
}
