package org.limpetring.entry.net;

import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioChannelOption;
import java.util.function.BiConsumer;
import jdk.net.ExtendedSocketOptions;

/** TCP keepalive options that detect dead connections without a reset. */
final class SocketOptions {

  /** Idle time before the first probe; one second is the smallest value of the socket option. */
  private static final int KEEP_ALIVE_IDLE_S = 1;

  private static final int KEEP_ALIVE_INTERVAL_S = 1;
  private static final int KEEP_ALIVE_PROBES = 2;

  private SocketOptions() {}

  /** Passes each option to the setter of a bootstrap. */
  static void apply(BiConsumer<ChannelOption<Object>, Object> set) {
    option(set, ChannelOption.TCP_NODELAY, true);
    option(set, ChannelOption.SO_KEEPALIVE, true);
    option(set, NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), KEEP_ALIVE_IDLE_S);
    option(set, NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), KEEP_ALIVE_INTERVAL_S);
    option(set, NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), KEEP_ALIVE_PROBES);
  }

  @SuppressWarnings("unchecked")
  private static <V> void option(
      BiConsumer<ChannelOption<Object>, Object> set, ChannelOption<V> option, V value) {
    set.accept((ChannelOption<Object>) (ChannelOption<?>) option, value);
  }
}
