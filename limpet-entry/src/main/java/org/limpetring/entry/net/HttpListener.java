package org.limpetring.entry.net;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpServerCodec;
import java.net.InetSocketAddress;
import java.util.function.IntSupplier;

/** Accepts callers' HTTP connections. */
public final class HttpListener {

  private static final int MAX_LINE_BYTES = 8_192;
  private static final int MAX_CHUNK_BYTES = 65_536;

  /** Large enough for a burst of connections, since a dropped SYN costs the caller seconds. */
  private static final int BACKLOG = 1_024;

  /** Bounds the bytes that are buffered for a caller that does not read. */
  private static final WriteBufferWaterMark WATER_MARK = new WriteBufferWaterMark(16_384, 65_536);

  private HttpListener() {}

  /** Binds to an address and passes the requests of all connections to {@code handler}. */
  public static ChannelFuture listen(
      EventLoop loop,
      InetSocketAddress address,
      IntSupplier maxHeaderBytes,
      CallerConnection.Handler handler) {
    ServerBootstrap bootstrap =
        new ServerBootstrap()
            .group(loop)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, WATER_MARK);
    SocketOptions.apply(bootstrap::childOption);
    bootstrap.childHandler(
        new ChannelInitializer<Channel>() {
          @Override
          protected void initChannel(Channel channel) {
            channel
                .pipeline()
                .addLast(
                    new HttpServerCodec(MAX_LINE_BYTES, maxHeaderBytes.getAsInt(), MAX_CHUNK_BYTES))
                .addLast(new CallerConnection(handler));
          }
        });
    return bootstrap.bind(address);
  }
}
