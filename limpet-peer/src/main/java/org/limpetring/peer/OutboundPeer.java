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
 * Connection to one peer with its bounded send queue and its pending requests.
 *
 * <p>All mutable fields except the queue counters are confined to one event loop.
 */
final class OutboundPeer {

  /** Limit of the bytes queued for one peer. */
  private static final long MAX_QUEUE_BYTES = 4L * PeerSettings.MAX_FRAME_BYTES;

  private static final Logger LOGGER = Logger.getLogger(OutboundPeer.class);

  private final PeerAddress address;
  private final PeerSettings settings;
  private final Clock clock;
  private final EventLoop loop;
  private final ChannelOpener opener;
  private final AtomicInteger queuedFrameCount = new AtomicInteger();
  private final AtomicLong queuedBytes = new AtomicLong();
  private final ArrayDeque<Envelope> unsentFrames = new ArrayDeque<>();
  private final Map<Long, CompletableFuture<Envelope>> pendingRequests = new HashMap<>();
  private @Nullable Channel channel;
  private @Nullable ConnectionMonitor monitor;
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

  /** Opens a channel with the given last handler. */
  interface ChannelOpener {
    ChannelFuture open(Bootstrap bootstrap, PeerAddress address, EnvelopeHandler handler);
  }

  /**
   * Queues a frame. {@code response} is null if none is expected. May be called from any thread.
   */
  void enqueue(Envelope frame, @Nullable CompletableFuture<Envelope> response, long timeoutMs) {
    int sizeBytes = frame.getSerializedSize();
    if (sizeBytes > PeerSettings.MAX_FRAME_BYTES) {
      reject(PeerFailure.TOO_LARGE, response);
      return;
    }
    if (queuedFrameCount.incrementAndGet() > settings.maxQueuedFrames()
        || queuedBytes.addAndGet(sizeBytes) > MAX_QUEUE_BYTES) {
      releaseQueueSpace(frame);
      reject(PeerFailure.QUEUE_FULL, response);
      return;
    }
    loop.execute(() -> dispatch(frame, response, timeoutMs));
  }

  /** Closes the connection and fails the pending requests. May be called from any thread. */
  void close() {
    loop.execute(
        () -> {
          closed = true;
          failPendingRequests(PeerFailure.CLOSED);
          dropUnsentFrames(PeerFailure.CLOSED);
          if (channel != null) {
            var unused = channel.close();
          }
        });
  }

  private void dispatch(
      Envelope frame, @Nullable CompletableFuture<Envelope> response, long timeoutMs) {
    if (closed) {
      releaseQueueSpace(frame);
      reject(PeerFailure.CLOSED, response);
      return;
    }
    if (response != null) {
      registerRequest(frame.getCorrelation(), response, timeoutMs);
    }
    if (channel != null && channel.isActive()) {
      write(channel, frame);
      return;
    }
    unsentFrames.add(frame);
    connect();
  }

  private void registerRequest(
      long correlation, CompletableFuture<Envelope> response, long timeoutMs) {
    pendingRequests.put(correlation, response);
    var timeout =
        loop.schedule(
            () -> failRequest(correlation, PeerFailure.TIMEOUT), timeoutMs, TimeUnit.MILLISECONDS);
    var unused = response.whenComplete((done, failure) -> timeout.cancel(false));
  }

  private void connect() {
    if (connecting || closed) {
      return;
    }
    connecting = true;
    ChannelFuture opening =
        opener.open(new Bootstrap().group(loop), address, new ResponseHandler());
    opening.addListener(
        done -> {
          connecting = false;
          if (done.isSuccess()) {
            onOpened(opening.channel());
            return;
          }
          PeerMetrics.CONNECTIONS.labelValues("unreachable").inc();
          dropUnsentFrames(PeerFailure.UNREACHABLE);
        });
  }

  private void onOpened(Channel opened) {
    if (closed) {
      var unused = opened.close();
      return;
    }
    PeerMetrics.CONNECTIONS.labelValues("opened").inc();
    channel = opened;
    monitor = new ConnectionMonitor(settings, clock.nowMs());
    opened.closeFuture().addListener(done -> onClosed(opened));
    for (Envelope frame = unsentFrames.poll(); frame != null; frame = unsentFrames.poll()) {
      write(opened, frame);
    }
    scheduleTick();
  }

  private void onClosed(Channel ended) {
    if (channel != ended) {
      return;
    }
    channel = null;
    monitor = null;
    if (nextTick != null) {
      nextTick.cancel(false);
      nextTick = null;
    }
    PeerMetrics.CONNECTIONS.labelValues("closed").inc();
    failPendingRequests(PeerFailure.CONNECTION_LOST);
  }

  private void write(Channel target, Envelope frame) {
    EnvelopeHandler.count(frame, "out");
    target.writeAndFlush(frame).addListener(done -> releaseQueueSpace(frame));
    if (monitor != null) {
      monitor.onMessageWritten(clock.nowMs());
      scheduleTick();
    }
  }

  /** Schedules a tick for when the next action is due; keeps an earlier scheduled tick. */
  private void scheduleTick() {
    if (monitor == null) {
      return;
    }
    long nowMs = clock.nowMs();
    long delayMs = monitor.nextTickMs(nowMs);
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
    if (monitor == null || channel == null) {
      return;
    }
    switch (monitor.onTick(clock.nowMs())) {
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
        LogEvent.CONNECTION_SILENT.log(LOGGER, address, settings.silenceTimeoutMs());
        closeConnection(channel);
        connect();
        return;
      }
      case CLOSE_IDLE -> {
        closeConnection(channel);
        return;
      }
      case NONE -> {}
    }
    scheduleTick();
  }

  private void closeConnection(Channel old) {
    onClosed(old);
    var unused = old.close();
  }

  private void dropUnsentFrames(PeerFailure failure) {
    for (Envelope frame = unsentFrames.poll(); frame != null; frame = unsentFrames.poll()) {
      releaseQueueSpace(frame);
      PeerMetrics.DROPPED.labelValues(failure.label()).inc();
      failRequest(frame.getCorrelation(), failure);
    }
  }

  private void failPendingRequests(PeerFailure failure) {
    for (long correlation : List.copyOf(pendingRequests.keySet())) {
      failRequest(correlation, failure);
    }
  }

  private void failRequest(long correlation, PeerFailure failure) {
    @Nullable CompletableFuture<Envelope> response = pendingRequests.remove(correlation);
    if (response != null) {
      response.completeExceptionally(new PeerException(failure, address.toString()));
    }
  }

  private void reject(PeerFailure failure, @Nullable CompletableFuture<Envelope> response) {
    PeerMetrics.DROPPED.labelValues(failure.label()).inc();
    if (response != null) {
      response.completeExceptionally(new PeerException(failure, address.toString()));
    }
  }

  private void releaseQueueSpace(Envelope frame) {
    queuedFrameCount.decrementAndGet();
    queuedBytes.addAndGet(-frame.getSerializedSize());
  }

  private final class ResponseHandler extends EnvelopeHandler {
    @Override
    void onEnvelope(ChannelHandlerContext context, Envelope frame) {
      if (context.channel() != channel || monitor == null) {
        return;
      }
      monitor.onFrameReceived();
      @Nullable CompletableFuture<Envelope> response =
          pendingRequests.remove(frame.getCorrelation());
      if (response != null) {
        response.complete(frame);
      }
    }
  }
}
