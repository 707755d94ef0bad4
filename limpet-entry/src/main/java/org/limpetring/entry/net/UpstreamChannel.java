package org.limpetring.entry.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.socket.nio.NioSocketChannel;

/**
 * Socket channel that knows whether its peer has ended the connection in order.
 *
 * <p>A closed channel doesn't tell: a failed write, a reset and our own close end in the same event
 * as the peer's close. Only the peer's close completes a response that has no length.
 */
final class UpstreamChannel extends NioSocketChannel {

  private boolean isEndedByPeer;

  /** Whether the end of the peer's bytes was read. */
  boolean isEndedByPeer() {
    return isEndedByPeer;
  }

  @Override
  protected int doReadBytes(ByteBuf buffer) throws Exception {
    int readBytes = super.doReadBytes(buffer);
    if (readBytes < 0) {
      isEndedByPeer = true;
    }
    return readBytes;
  }
}
