package org.limpetring.peer.memory;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.jspecify.annotations.Nullable;
import org.limpetring.base.DaemonId;
import org.limpetring.base.ManualClock;
import org.limpetring.peer.PeerAddress;
import org.limpetring.peer.PeerException;
import org.limpetring.peer.PeerFailure;
import org.limpetring.peer.PeerTransport;
import org.limpetring.peer.proto.Envelope;

/**
 * In-memory network of transports, deterministic for a given seed and sequence of calls.
 *
 * <p>{@link #advance} delivers messages on the calling thread, in the order of their delivery time.
 * Not thread-safe.
 */
public final class MemoryPeerNetwork {

  private final ManualClock clock;
  private final Random random;
  private final Map<PeerAddress, MemoryPeerTransport> transports = new HashMap<>();
  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private final Set<Link> cutLinks = new HashSet<>();
  private final Map<Link, Long> linkDelaysMs = new HashMap<>();
  private long defaultDelayMs = 1;
  private double lossRatio;
  private long sequence;
  private long sentFrames;
  private long sentBytes;

  /** Creates a network with a random message loss seeded by {@code seed}. */
  public MemoryPeerNetwork(ManualClock clock, long seed) {
    this.clock = clock;
    this.random = new Random(seed);
  }

  /** Adds a daemon's transport, replacing an earlier one at the address. */
  public PeerTransport join(DaemonId self, PeerAddress address) {
    MemoryPeerTransport transport = new MemoryPeerTransport(this, self, address);
    transports.put(address, transport);
    return transport;
  }

  /**
   * Cuts the link from one address to another; messages in flight are lost if due before healing.
   */
  public void cut(PeerAddress from, PeerAddress to) {
    cutLinks.add(new Link(from, to));
  }

  /** Cuts both directions between two addresses. */
  public void partition(PeerAddress one, PeerAddress other) {
    cut(one, other);
    cut(other, one);
  }

  /** Restores both directions between two addresses. */
  public void heal(PeerAddress one, PeerAddress other) {
    cutLinks.remove(new Link(one, other));
    cutLinks.remove(new Link(other, one));
  }

  /** Restores all links. */
  public void healAll() {
    cutLinks.clear();
  }

  /** Sets the default one-way delay, in milliseconds. */
  public void setDelayMs(long delayMs) {
    this.defaultDelayMs = delayMs;
  }

  /** Sets the one-way delay from one address to another, in milliseconds. */
  public void setDelayMs(PeerAddress from, PeerAddress to, long linkDelayMs) {
    linkDelaysMs.put(new Link(from, to), linkDelayMs);
  }

  /** Sets the fraction of messages that are lost, from 0 to 1. */
  public void setLossRatio(double lossRatio) {
    this.lossRatio = lossRatio;
  }

  /** Returns the number of frames sent so far, including lost ones. */
  public long sentFrames() {
    return sentFrames;
  }

  /** Returns the bytes of the frames sent so far, including lost ones. */
  public long sentBytes() {
    return sentBytes;
  }

  /** Advances the clock by {@code stepMs} and runs each event at its due time. */
  public void advance(long stepMs) {
    long endMs = clock.nowMs() + stepMs;
    for (Event next = events.peek(); next != null && next.atMs <= endMs; next = events.peek()) {
      events.remove();
      clock.advance(Math.max(0, next.atMs - clock.nowMs()));
      next.action.run();
    }
    clock.advance(Math.max(0, endMs - clock.nowMs()));
  }

  void transmit(PeerAddress from, PeerAddress to, Envelope message) {
    sentFrames++;
    sentBytes += message.getSerializedSize();
    if (random.nextDouble() < lossRatio) {
      return;
    }
    Link link = new Link(from, to);
    schedule(linkDelaysMs.getOrDefault(link, defaultDelayMs), () -> deliver(link, message));
  }

  void scheduleTimeout(CompletableFuture<Envelope> future, long timeoutMs) {
    schedule(
        timeoutMs,
        () -> future.completeExceptionally(new PeerException(PeerFailure.TIMEOUT, "no response")));
  }

  void remove(PeerAddress address, MemoryPeerTransport transport) {
    transports.remove(address, transport);
  }

  private void deliver(Link link, Envelope message) {
    @Nullable MemoryPeerTransport receiver = transports.get(link.to);
    if (receiver != null && !cutLinks.contains(link)) {
      receiver.receive(link.from, message);
    }
  }

  private void schedule(long afterMs, Runnable action) {
    events.add(new Event(clock.nowMs() + afterMs, sequence++, action));
  }

  private record Link(PeerAddress from, PeerAddress to) {}

  private record Event(long atMs, long sequence, Runnable action) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      int byTime = Long.compare(atMs, other.atMs);
      return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
    }
  }
}
