package org.limpetring.standin.host;

import java.io.IOException;
import java.util.Collections;
import java.util.Set;
import java.util.WeakHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.jspecify.annotations.Nullable;
import org.limpetring.base.Clock;
import org.limpetring.standin.http.Endpoints.Endpoint;
import org.limpetring.standin.http.Exchange;

/** A simulated host, or the platform, with its active faults. */
public final class SimulatedHost {

  private static final long MAX_SILENCE_MS = 300_000;
  private static final long DISTANT_PAST_MS = Long.MIN_VALUE / 2;

  private final String name;
  private final String failureDomain;
  private final String fabricDomain;
  private final Set<Object> silencedConnections = Collections.newSetFromMap(new WeakHashMap<>());
  private final AtomicInteger responsesToLose = new AtomicInteger();
  private final AtomicInteger responsesToCross = new AtomicInteger();
  private final AtomicInteger responsesToTruncate = new AtomicInteger();
  private volatile boolean alive = true;
  private volatile boolean paused;
  private volatile boolean down;
  private volatile boolean leaving;
  private volatile boolean ignoresFencing;
  private volatile double slowFactor = 1;
  private volatile long delayMs;
  private volatile long aliveChangedAtMs = DISTANT_PAST_MS;
  private volatile long leavingChangedAtMs = DISTANT_PAST_MS;
  private Runnable onRestart = () -> {};
  private Runnable onCold = () -> {};
  private @Nullable Endpoint endpoint;

  /** Creates a host without faults. */
  public SimulatedHost(String name, String failureDomain, String fabricDomain) {
    this.name = name;
    this.failureDomain = failureDomain;
    this.fabricDomain = fabricDomain;
  }

  /** Sets the endpoint of the host and the callbacks for a restart and for turning cold. */
  public synchronized void attach(Endpoint endpoint, Runnable onRestart, Runnable onCold) {
    this.endpoint = endpoint;
    this.onRestart = onRestart;
    this.onCold = onCold;
  }

  /** Name of the host. */
  public String name() {
    return name;
  }

  /** Whether a fault with the given {@code target} applies to this host. */
  public boolean isTargetedBy(String target) {
    return name.equals(target) || failureDomain.equals(target) || fabricDomain.equals(target);
  }

  /** Whether the host's process is running. */
  public boolean alive() {
    return alive;
  }

  /** Whether the host's process is suspended. */
  public boolean paused() {
    return paused;
  }

  /** Whether the host has announced its departure. */
  public boolean leaving() {
    return leaving;
  }

  /** Whether the platform behind this endpoint rejects every call. */
  public boolean down() {
    return down;
  }

  /** Whether orders are applied regardless of their fencing token. */
  public boolean ignoresFencing() {
    return ignoresFencing;
  }

  /** Multiplier for each duration of work, at least 1. */
  public double slowFactor() {
    return slowFactor;
  }

  /** Whether the host was alive {@code lagMs} ago; exact for at most one change since then. */
  public boolean wasAlive(long lagMs) {
    return alive == hasElapsedSince(aliveChangedAtMs, lagMs);
  }

  /** Whether the host was leaving {@code lagMs} ago; exact for at most one change since then. */
  public boolean wasLeaving(long lagMs) {
    return leaving == hasElapsedSince(leavingChangedAtMs, lagMs);
  }

  /** Consumes one pending lost response; true if there was one. */
  public boolean takeLostResponse() {
    return decrementIfPositive(responsesToLose);
  }

  /** Consumes one pending crossed response; true if there was one. */
  public boolean takeCrossedResponse() {
    return decrementIfPositive(responsesToCross);
  }

  /** Consumes one pending truncated response; true if there was one. */
  public boolean takeTruncatedResponse() {
    return decrementIfPositive(responsesToTruncate);
  }

  /** Activates a fault. */
  public synchronized void apply(Fault fault) {
    switch (fault.fault()) {
      case KILL -> kill();
      case PAUSE -> paused = true;
      case SLOW -> slow(fault);
      case COLD -> onCold.run();
      case LOST_ANSWER -> responsesToLose.addAndGet(fault.countOrOne());
      case CROSSED_ANSWER -> responsesToCross.addAndGet(fault.countOrOne());
      case TRUNCATE -> responsesToTruncate.addAndGet(fault.countOrOne());
      case SILENT -> silence();
      case IGNORE_FENCING -> ignoresFencing = true;
      case DOWN -> down = true;
      case LEAVING -> startLeaving();
      case HEAL -> heal();
    }
    notifyAll();
  }

  /**
   * Blocks while the host is paused or the connection is silenced.
   *
   * @throws IOException if the host is dead, the connection is closed, or the wait times out
   */
  public synchronized void awaitReachable(Exchange exchange) throws IOException {
    long endMs = Clock.system().nowMs() + MAX_SILENCE_MS;
    while (alive && (paused || silencedConnections.contains(exchange.connection()))) {
      long leftMs = endMs - Clock.system().nowMs();
      if (leftMs <= 0 || !exchange.isOpen()) {
        throw new IOException("connection given up on " + name);
      }
      await(leftMs);
    }
    if (!alive) {
      throw new IOException("host is dead: " + name);
    }
  }

  /** Simulates work of the given duration, slowed down by the active faults. */
  public void simulateWork(Exchange exchange, long workMs) throws IOException {
    sleep(Math.round(workMs * slowFactor) + delayMs);
    awaitReachable(exchange);
  }

  private static void sleep(long timeMs) throws IOException {
    try {
      Thread.sleep(timeMs);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
      throw new IOException("interrupted", interrupted);
    }
  }

  private void await(long timeMs) throws IOException {
    try {
      wait(timeMs);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
      throw new IOException("interrupted", interrupted);
    }
  }

  private void kill() {
    if (!alive) {
      return;
    }
    alive = false;
    aliveChangedAtMs = Clock.system().nowMs();
    if (endpoint != null) {
      endpoint.shutDown();
    }
  }

  private void slow(Fault fault) {
    slowFactor = Math.max(1, fault.factor());
    delayMs = fault.delayMs();
  }

  private void silence() {
    if (endpoint != null) {
      silencedConnections.addAll(endpoint.connections());
    }
  }

  private void startLeaving() {
    if (leaving) {
      return;
    }
    leaving = true;
    leavingChangedAtMs = Clock.system().nowMs();
  }

  private void heal() {
    paused = false;
    down = false;
    ignoresFencing = false;
    slowFactor = 1;
    delayMs = 0;
    responsesToLose.set(0);
    responsesToCross.set(0);
    responsesToTruncate.set(0);
    if (leaving) {
      leaving = false;
      leavingChangedAtMs = Clock.system().nowMs();
    }
    if (!alive) {
      restartProcess();
    }
  }

  private void restartProcess() {
    onRestart.run();
    alive = true;
    aliveChangedAtMs = Clock.system().nowMs();
    if (endpoint != null) {
      endpoint.reopen();
    }
  }

  private static boolean hasElapsedSince(long timeMs, long lagMs) {
    return Clock.system().nowMs() - timeMs >= lagMs;
  }

  private static boolean decrementIfPositive(AtomicInteger remaining) {
    return remaining.getAndUpdate(count -> Math.max(0, count - 1)) > 0;
  }
}
