package org.limpetring.entry.peer;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.BiConsumer;
import org.jspecify.annotations.Nullable;
import org.limpetring.base.LogEvent;
import org.limpetring.entry.DecisionLog;

/**
 * Sends and receives datagrams between daemons.
 *
 * <p>Load pattern: a planner announces the load of a hundred endpoints or more to all daemons. Its
 * state has to arrive whole, or it counts as silent and is replaced.
 */
public final class PeerLink {

  /** Size limit of a datagram; several times the state of a planner with 300 endpoints. */
  static final int MAX_DATAGRAM_BYTES = 16_384;

  private final EventLoop loop;
  private final DecisionLog log;
  private final BiConsumer<PeerState, InetSocketAddress> listener;
  private @Nullable Channel channel;

  /** Creates a link that passes received states to {@code listener} on the event loop. */
  public PeerLink(
      EventLoop loop, DecisionLog log, BiConsumer<PeerState, InetSocketAddress> listener) {
    this.loop = loop;
    this.log = log;
    this.listener = listener;
  }

  /** Binds the link to an address. */
  public void open(InetSocketAddress address) {
    Bootstrap bootstrap =
        new Bootstrap()
            .group(loop)
            .channel(NioDatagramChannel.class)
            // the default receives 2,048 bytes and cuts off the rest
            .option(
                ChannelOption.RECVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(MAX_DATAGRAM_BYTES))
            .handler(
                new SimpleChannelInboundHandler<DatagramPacket>() {
                  @Override
                  protected void channelRead0(
                      ChannelHandlerContext context, DatagramPacket packet) {
                    receive(packet);
                  }

                  @Override
                  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
                    log.write(LogEvent.PEER_FRAME_REJECTED, "peer", "", "reason", cause.toString());
                  }
                });
    channel = bootstrap.bind(address).channel();
  }

  private void receive(DatagramPacket packet) {
    try {
      listener.accept(PeerState.decode(ByteBufUtil.getBytes(packet.content())), packet.sender());
    } catch (IOException failure) {
      log.write(
          LogEvent.PEER_FRAME_REJECTED,
          "peer",
          packet.sender(),
          "reason",
          String.valueOf(failure.getMessage()));
    }
  }

  /** Sends a state to the given addresses. */
  public void send(PeerState state, Iterable<InetSocketAddress> addresses) {
    Channel open = channel;
    if (open == null || !open.isActive()) {
      return;
    }
    byte[] bytes = state.encode();
    if (bytes.length > MAX_DATAGRAM_BYTES) {
      bytes = state.withoutHints().encode();
    }
    for (InetSocketAddress address : addresses) {
      var unused =
          open.write(
              new DatagramPacket(Unpooled.wrappedBuffer(bytes), address), open.voidPromise());
    }
    open.flush();
  }
}
