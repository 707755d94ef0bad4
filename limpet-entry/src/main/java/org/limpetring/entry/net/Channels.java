package org.limpetring.entry.net;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;

/** Writes and closes without listeners; a failure shows as the closing of the channel. */
final class Channels {

  private Channels() {}

  static void close(Channel channel) {
    var unused = channel.close();
  }

  static void close(ChannelHandlerContext context) {
    var unused = context.close();
  }

  /** Closes so that the peer sees a reset instead of the end of the bytes. */
  static void reset(ChannelHandlerContext context) {
    context.channel().config().setOption(ChannelOption.SO_LINGER, 0);
    close(context);
  }

  static void write(ChannelHandlerContext context, Object message) {
    var unused = context.write(message);
  }

  static void send(ChannelHandlerContext context, Object message) {
    var unused = context.writeAndFlush(message);
  }
}
