package org.limpetring.peer;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.jboss.logging.Logger;
import org.jspecify.annotations.Nullable;
import org.limpetring.base.Clock;
import org.limpetring.base.LogEvent;
import org.limpetring.peer.proto.Envelope;
import org.limpetring.peer.proto.Heartbeat;

/**
 * Connection towards one peer with its bounded queue and its open requests.
 *
 * <p>All fields but the queue counters are used on one event loop only.
 */
final class OutboundPeer {

  /** Bytes that may wait towards one peer. */
  private static final long MAX_QUEUE_BYTES = 4L * PeerSettings.MAX_FRAME_BYTES;

  private static final Logger LOGGER = Logger.getLogger(OutboundPeer.class);

  private final PeerAddress address;
  private final PeerSettings settings;
  private final Clock clock;
  private final EventLoop loop;
  private final ChannelOpener opener;
  private final AtomicInteger queuedFrames = new AtomicInteger();
  private final AtomicLong queuedBytes = new AtomicLong();
  private final ArrayDeque<Envelope> waiting = new ArrayDeque<>();
  private final Map<Long, CompletableFuture<Envelope>> open = new HashMap<>();
  private @Nullable Channel channel;
  private @Nullable ConnectionWatch watch;
  private boolean connecting;
  private @Nullable Future<?> nextTick;
  private long nextTickAtMs;
  private boolean closed;

  OutboundPeer(
      PeerAddress address,
      PeerSettings settings,
      Clock clock,
      EventLoop loop,
      ChannelOpener opener) {
    this.address = address;
    this.settings = settings;
    this.clock = clock;
    this.loop = loop;
    this.opener = opener;
  }

  /** Opens a channel whose last handler is given. */
  interface ChannelOpener {
    ChannelFuture open(Bootstrap bootstrap, PeerAddress address, EnvelopeHandler handler);
  }

  /** Queues a frame; {@code response} is null for a message without response. Any thread. */
  void enqueue(Envelope frame, @Nullable CompletableFuture<Envelope> response, long timeoutMs) {
    int sizeBytes = frame.getSerializedSize();
    if (sizeBytes > PeerSettings.MAX_FRAME_BYTES) {
      refuse(PeerFailure.TOO_LARGE, response);
      return;
    }
    if (queuedFrames.incrementAndGet() > settings.queueFrames()
        || queuedBytes.addAndGet(sizeBytes) > MAX_QUEUE_BYTES) {
      release(frame);
      refuse(PeerFailure.QUEUE_FULL, response);
      return;
    }
    loop.execute(() -> start(frame, response, timeoutMs));
  }

  /** Closes the connection and fails the open requests. Any thread. */
  void close() {
    loop.execute(
        () -> {
          closed = true;
          failOpen(PeerFailure.CLOSED);
          dropWaiting(PeerFailure.CLOSED);
          if (channel != null) {
            var unused = channel.close();
          }
        });
  }

  private void start(
      Envelope frame, @Nullable CompletableFuture<Envelope> response, long timeoutMs) {
    if (closed) {
      release(frame);
      refuse(PeerFailure.CLOSED, response);
      return;
    }
    if (response != null) {
      expect(frame.getCorrelation(), response, timeoutMs);
    }
    if (channel != null && channel.isActive()) {
      write(channel, frame);
      return;
    }
    waiting.add(frame);
    connect();
  }

  private void expect(long correlation, CompletableFuture<Envelope> response, long timeoutMs) {
    open.put(correlation, response);
    var timeout =
        loop.schedule(
            () -> fail(correlation, PeerFailure.TIMEOUT), timeoutMs, TimeUnit.MILLISECONDS);
    var unused = response.whenComplete((done, failure) -> timeout.cancel(false));
  }

  private void connect() {
    if (connecting || closed) {
      return;
    }
    connecting = true;
    ChannelFuture opening = opener.open(new Bootstrap().group(loop), address, new Receiver());
    opening.addListener(
        done -> {
          connecting = false;
          if (done.isSuccess()) {
            onOpen(opening.channel());
            return;
          }
          PeerMetrics.CONNECTIONS.labelValues("unreachable").inc();
          dropWaiting(PeerFailure.UNREACHABLE);
        });
  }

  private void onOpen(Channel opened) {
    if (closed) {
      var unused = opened.close();
      return;
    }
    PeerMetrics.CONNECTIONS.labelValues("opened").inc();
    channel = opened;
    watch = new ConnectionWatch(settings, clock.nowMs());
    opened.closeFuture().addListener(done -> onClosed(opened));
    for (Envelope frame = waiting.poll(); frame != null; frame = waiting.poll()) {
      write(opened, frame);
    }
    scheduleTick();
  }

  private void onClosed(Channel ended) {
    if (channel != ended) {
      return;
    }
    channel = null;
    watch = null;
    if (nextTick != null) {
      nextTick.cancel(false);
      nextTick = null;
    }
    PeerMetrics.CONNECTIONS.labelValues("closed").inc();
    failOpen(PeerFailure.CONNECTION_LOST);
  }

  private void write(Channel target, Envelope frame) {
    EnvelopeHandler.count(frame, "out");
    target.writeAndFlush(frame).addListener(done -> release(frame));
    if (watch != null) {
      watch.onMessageWritten(clock.nowMs());
      scheduleTick();
    }
  }

  /** Makes sure that a tick comes when the next decision is due, and no sooner. */
  private void scheduleTick() {
    if (watch == null) {
      return;
    }
    long nowMs = clock.nowMs();
    long delayMs = watch.nextTickMs(nowMs);
    if (nextTick != null) {
      if (nextTickAtMs <= nowMs + delayMs) {
        return;
      }
      nextTick.cancel(false);
    }
    nextTickAtMs = nowMs + delayMs;
    nextTick = loop.schedule(this::tick, delayMs, TimeUnit.MILLISECONDS);
  }

  private void tick() {
    nextTick = null;
    if (watch == null || channel == null) {
      return;
    }
    switch (watch.onTick(clock.nowMs())) {
      case HEARTBEAT -> {
        Envelope heartbeat =
            Envelope.newBuilder()
                .setSender(settings.self().value())
                .setHeartbeat(Heartbeat.getDefaultInstance())
                .build();
        EnvelopeHandler.count(heartbeat, "out");
        var unused = channel.writeAndFlush(heartbeat, channel.voidPromise());
      }
      case DROP_SILENT -> {
        PeerMetrics.CONNECTIONS.labelValues("silent").inc();
        LogEvent.CONNECTION_SILENT.log(LOGGER, address, settings.silenceMs());
        drop(channel);
        connect();
        return;
      }
      case CLOSE_IDLE -> {
        drop(channel);
        return;
      }
      case NONE -> {}
    }
    scheduleTick();
  }

  private void drop(Channel old) {
    onClosed(old);
    var unused = old.close();
  }

  private void dropWaiting(PeerFailure failure) {
    for (Envelope frame = waiting.poll(); frame != null; frame = waiting.poll()) {
      release(frame);
      PeerMetrics.DROPPED.labelValues(failure.label()).inc();
      fail(frame.getCorrelation(), failure);
    }
  }

  private void failOpen(PeerFailure failure) {
    for (long correlation : List.copyOf(open.keySet())) {
      fail(correlation, failure);
    }
  }

  private void fail(long correlation, PeerFailure failure) {
    @Nullable CompletableFuture<Envelope> response = open.remove(correlation);
    if (response != null) {
      response.completeExceptionally(new PeerException(failure, address.toString()));
    }
  }

  private void refuse(PeerFailure failure, @Nullable CompletableFuture<Envelope> response) {
    PeerMetrics.DROPPED.labelValues(failure.label()).inc();
    if (response != null) {
      response.completeExceptionally(new PeerException(failure, address.toString()));
    }
  }

  private void release(Envelope frame) {
    queuedFrames.decrementAndGet();
    queuedBytes.addAndGet(-frame.getSerializedSize());
  }

  private final class Receiver extends EnvelopeHandler {
    @Override
    void onEnvelope(ChannelHandlerContext context, Envelope frame) {
      if (context.channel() != channel || watch == null) {
        return;
      }
      watch.onRead();
      @Nullable CompletableFuture<Envelope> response = open.remove(frame.getCorrelation());
      if (response != null) {
        response.complete(frame);
      }
    }
  }
}
