package org.limpetring.entry.net;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.internal.SocketUtils;
import java.io.IOException;
import java.nio.channels.SocketChannel;
import java.util.List;

/** Socket channel that counts the bytes that its caller has taken. */
final class CallerChannel extends NioSocketChannel {

  /** Listening channel whose connections are {@link CallerChannel}s. */
  static final class Listening extends NioServerSocketChannel {

    @Override
    protected int doReadMessages(List<Object> accepted) throws Exception {
      SocketChannel socket = SocketUtils.accept(javaChannel());
      if (socket == null) {
        return 0;
      }
      try {
        accepted.add(new CallerChannel(this, socket));
        return 1;
      } catch (RuntimeException failure) {
        socket.close();
        throw new IOException("accepted connection cannot be used", failure);
      }
    }
  }

  private long writtenBytes;
  private Runnable onWritten = () -> {};

  private CallerChannel(Channel parent, SocketChannel socket) {
    super(parent, socket);
  }

  /** Sets what is called when the socket has taken bytes, or has refused to. */
  void setOnWritten(Runnable listener) {
    onWritten = listener;
  }

  /** Number of bytes that the socket has taken. */
  long writtenBytes() {
    return writtenBytes;
  }

  /** Bytes that the socket has not taken yet, as they are buffered. */
  long unwrittenBytes() {
    ChannelOutboundBuffer buffer = unsafe().outboundBuffer();
    return buffer == null ? 0 : buffer.totalPendingWriteBytes();
  }

  @Override
  protected void doWrite(ChannelOutboundBuffer buffer) throws Exception {
    long before = buffer.totalPendingWriteBytes();
    super.doWrite(buffer);
    writtenBytes += before - buffer.totalPendingWriteBytes();
    onWritten.run();
  }
}
