package org.limpetring.entry.net;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.WriteBufferWaterMark;
import java.net.InetSocketAddress;

/** Accepts callers' HTTP connections. */
public final class HttpListener {

  /** Large enough for a burst of connections, since a dropped SYN costs the caller seconds. */
  private static final int BACKLOG = 1_024;

  /** Bounds the bytes that are buffered for a caller that does not read. */
  private static final WriteBufferWaterMark WATER_MARK = new WriteBufferWaterMark(16_384, 65_536);

  /**
   * One small read for each connection in a turn of the event loop, so that connections with much
   * to read don't delay the others; the usual request comes in one.
   */
  private static final RecvByteBufAllocator READS =
      new AdaptiveRecvByteBufAllocator(512, 4_096, 8_192).maxMessagesPerRead(1);

  private HttpListener() {}

  /** Binds to an address and passes the requests of all connections to {@code handler}. */
  public static ChannelFuture listen(
      EventLoop loop,
      InetSocketAddress address,
      CallerConnections connections,
      CallerConnection.Handler handler) {
    ServerBootstrap bootstrap =
        new ServerBootstrap()
            .group(loop)
            .channelFactory(CallerChannel.Listening::new)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.RCVBUF_ALLOCATOR, READS)
            .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, WATER_MARK);
    SocketOptions.apply(bootstrap::childOption);
    bootstrap.childHandler(
        new ChannelInitializer<Channel>() {
          @Override
          protected void initChannel(Channel channel) {
            CallerConnection connection = new CallerConnection(handler, connections);
            channel.pipeline().addLast(connection.decoder(), connection.encoder(), connection);
          }
        });
    return bootstrap.bind(address);
  }
}
