package org.limpetring.peer;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.TooLongFrameException;
import java.util.Locale;
import javax.net.ssl.SSLException;
import org.jboss.logging.Logger;
import org.limpetring.base.LogEvent;
import org.limpetring.base.Metrics;
import org.limpetring.peer.proto.Envelope;

/** Last handler in the pipeline of a peer connection; closes the connection on an invalid frame. */
abstract class EnvelopeHandler extends SimpleChannelInboundHandler<Envelope> {

  private static final Logger LOGGER = Logger.getLogger(EnvelopeHandler.class);

  private boolean rejected;

  /** Handles one valid frame on the event loop. */
  abstract void onEnvelope(ChannelHandlerContext context, Envelope envelope);

  @Override
  protected final void channelRead0(ChannelHandlerContext context, Envelope envelope) {
    if (rejected) {
      return;
    }
    if (envelope.getBodyCase() == Envelope.BodyCase.BODY_NOT_SET) {
      reject(context, FrameError.MALFORMED, "envelope has no known body");
      return;
    }
    count(envelope, "in");
    onEnvelope(context, envelope);
  }

  @Override
  public final void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    if (cause instanceof TooLongFrameException) {
      reject(context, FrameError.TOO_LARGE, String.valueOf(cause.getMessage()));
      return;
    }
    if (cause instanceof SSLException || cause.getCause() instanceof SSLException) {
      reject(context, FrameError.TLS_REFUSED, String.valueOf(cause.getMessage()));
      return;
    }
    if (cause instanceof DecoderException) {
      reject(context, FrameError.MALFORMED, String.valueOf(cause.getMessage()));
      return;
    }
    PeerMetrics.CONNECTIONS.labelValues("failed").inc();
    var unused = context.close();
  }

  /** Counts a frame and its bytes, including the length prefix. */
  static void count(Envelope envelope, String direction) {
    String kind = envelope.getBodyCase().name().toLowerCase(Locale.ROOT);
    Metrics.PEER_FRAMES.labelValues(kind, direction).inc();
    Metrics.PEER_BYTES
        .labelValues(direction)
        .inc(envelope.getSerializedSize() + PeerPipeline.PREFIX_BYTES);
  }

  /** Closes the connection; later frames of the same read are ignored. */
  private void reject(ChannelHandlerContext context, FrameError error, String detail) {
    if (rejected) {
      return;
    }
    rejected = true;
    PeerMetrics.REJECTED.labelValues(error.label()).inc();
    LogEvent.PEER_FRAME_REJECTED.log(
        LOGGER, context.channel().remoteAddress(), error.label() + ": " + detail);
    var unused = context.close();
  }
}
