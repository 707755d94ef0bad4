package org.limpetring.peer;

import io.netty.channel.Channel;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import org.limpetring.peer.proto.Envelope;

/** Framing of a peer connection: a four-byte length prefix, then one {@link Envelope}. */
final class PeerPipeline {

  /** Size of the length prefix of each frame, in bytes. */
  static final int PREFIX_BYTES = 4;

  private static final ProtobufDecoder DECODER = new ProtobufDecoder(Envelope.getDefaultInstance());
  private static final ProtobufEncoder ENCODER = new ProtobufEncoder();

  private PeerPipeline() {}

  /** Appends the codec and the handler to the pipeline, after any TLS or idle-state handler. */
  static void install(Channel channel, EnvelopeHandler handler) {
    ChannelPipeline pipeline = channel.pipeline();
    pipeline.addLast(
        new LengthFieldBasedFrameDecoder(
            PeerSettings.MAX_FRAME_BYTES, 0, PREFIX_BYTES, 0, PREFIX_BYTES));
    pipeline.addLast(DECODER);
    pipeline.addLast(new LengthFieldPrepender(PREFIX_BYTES));
    pipeline.addLast(ENCODER);
    pipeline.addLast(handler);
  }
}
