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
 * Network of transports in memory, deterministic for one seed and one sequence of calls.
 *
 * <p>Messages are delivered by {@link #advance} on the calling thread, in the order of their
 * delivery time. Not thread-safe.
 */
public final class MemoryPeerNetwork {

  private final ManualClock clock;
  private final Random random;
  private final Map<PeerAddress, MemoryPeerTransport> transports = new HashMap<>();
  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private final Set<Link> cut = new HashSet<>();
  private final Map<Link, Long> delaysMs = new HashMap<>();
  private long delayMs = 1;
  private double lossRatio;
  private long sequence;
  private long sentFrames;
  private long sentBytes;

  /** Creates a network whose losses are drawn from {@code seed}. */
  public MemoryPeerNetwork(ManualClock clock, long seed) {
    this.clock = clock;
    this.random = new Random(seed);
  }

  /** Joins a daemon; an earlier transport at the address is replaced. */
  public PeerTransport join(DaemonId self, PeerAddress address) {
    MemoryPeerTransport transport = new MemoryPeerTransport(this, self, address);
    transports.put(address, transport);
    return transport;
  }

  /** Cuts the way from one address to another; messages under way are lost too. */
  public void cut(PeerAddress from, PeerAddress to) {
    cut.add(new Link(from, to));
  }

  /** Cuts both ways between two addresses. */
  public void partition(PeerAddress one, PeerAddress other) {
    cut(one, other);
    cut(other, one);
  }

  /** Restores both ways between two addresses. */
  public void heal(PeerAddress one, PeerAddress other) {
    cut.remove(new Link(one, other));
    cut.remove(new Link(other, one));
  }

  /** Restores every way. */
  public void healAll() {
    cut.clear();
  }

  /** Sets the one-way delay of all ways without a delay of their own, in milliseconds. */
  public void setDelayMs(long delayMs) {
    this.delayMs = delayMs;
  }

  /** Sets the delay from one address to another, in milliseconds. */
  public void setDelayMs(PeerAddress from, PeerAddress to, long linkDelayMs) {
    delaysMs.put(new Link(from, to), linkDelayMs);
  }

  /** Loses this part of all messages, from 0 to 1. */
  public void setLossRatio(double lossRatio) {
    this.lossRatio = lossRatio;
  }

  /** Frames handed to the network so far. */
  public long sentFrames() {
    return sentFrames;
  }

  /** Bytes of the frames handed to the network so far. */
  public long sentBytes() {
    return sentBytes;
  }

  /** Moves the clock forward, delivering on the way whatever falls due. */
  public void advance(long stepMs) {
    long endMs = clock.nowMs() + stepMs;
    for (Event next = events.peek(); next != null && next.atMs <= endMs; next = events.peek()) {
      events.remove();
      clock.advance(Math.max(0, next.atMs - clock.nowMs()));
      next.action.run();
    }
    clock.advance(Math.max(0, endMs - clock.nowMs()));
  }

  void carry(PeerAddress from, PeerAddress to, Envelope message) {
    sentFrames++;
    sentBytes += message.getSerializedSize();
    if (random.nextDouble() < lossRatio) {
      return;
    }
    Link link = new Link(from, to);
    schedule(delaysMs.getOrDefault(link, delayMs), () -> deliver(link, message));
  }

  void expire(CompletableFuture<Envelope> future, long timeoutMs) {
    schedule(
        timeoutMs,
        () -> future.completeExceptionally(new PeerException(PeerFailure.TIMEOUT, "no response")));
  }

  void leave(PeerAddress address, MemoryPeerTransport transport) {
    transports.remove(address, transport);
  }

  private void deliver(Link link, Envelope message) {
    @Nullable MemoryPeerTransport receiver = transports.get(link.to);
    if (receiver != null && !cut.contains(link)) {
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
