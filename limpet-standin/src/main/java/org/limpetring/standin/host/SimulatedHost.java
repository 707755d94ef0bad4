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

/** One simulated host, or the platform: which faults are in effect on it. */
public final class SimulatedHost {

  private static final long SILENCE_LIMIT_MS = 300_000;
  private static final long LONG_AGO_MS = Long.MIN_VALUE / 2;

  private final String name;
  private final String failureDomain;
  private final String fabricDomain;
  private final Set<Object> silenced = Collections.newSetFromMap(new WeakHashMap<>());
  private final AtomicInteger answersToLose = new AtomicInteger();
  private final AtomicInteger answersToCross = new AtomicInteger();
  private final AtomicInteger answersToTruncate = new AtomicInteger();
  private volatile boolean alive = true;
  private volatile boolean paused;
  private volatile boolean down;
  private volatile boolean leaving;
  private volatile boolean ignoresFencing;
  private volatile double slowFactor = 1;
  private volatile long delayMs;
  private volatile long aliveChangedAtMs = LONG_AGO_MS;
  private volatile long leavingChangedAtMs = LONG_AGO_MS;
  private Runnable restart = () -> {};
  private Runnable chill = () -> {};
  private @Nullable Endpoint endpoint;

  /** Makes a host without a fault. */
  public SimulatedHost(String name, String failureDomain, String fabricDomain) {
    this.name = name;
    this.failureDomain = failureDomain;
    this.fabricDomain = fabricDomain;
  }

  /** Names the socket of the host, and what a restart and a turn to cold do to its upstream. */
  public synchronized void attach(Endpoint endpoint, Runnable restart, Runnable chill) {
    this.endpoint = endpoint;
    this.restart = restart;
    this.chill = chill;
  }

  /** Name of the host. */
  public String name() {
    return name;
  }

  /** Whether a fault aimed at {@code target} hits this host. */
  public boolean isIn(String target) {
    return name.equals(target) || failureDomain.equals(target) || fabricDomain.equals(target);
  }

  /** Whether the host's process runs. */
  public boolean alive() {
    return alive;
  }

  /** Whether the host's process is stopped for a while. */
  public boolean paused() {
    return paused;
  }

  /** Whether the host was told that it is about to go. */
  public boolean leaving() {
    return leaving;
  }

  /** Whether a store behind this endpoint refuses each call. */
  public boolean down() {
    return down;
  }

  /** Whether orders are obeyed whatever their fencing number. */
  public boolean ignoresFencing() {
    return ignoresFencing;
  }

  /** Factor on each duration of work, at least 1. */
  public double slowFactor() {
    return slowFactor;
  }

  /** Whether the host's process ran {@code lagMs} ago, if it changed once since then at most. */
  public boolean wasAlive(long lagMs) {
    return alive == isOlder(aliveChangedAtMs, lagMs);
  }

  /** Whether the host was leaving {@code lagMs} ago, if that changed once since then at most. */
  public boolean wasLeaving(long lagMs) {
    return leaving == isOlder(leavingChangedAtMs, lagMs);
  }

  /** Takes one of the answers that are to be lost, if any. */
  public boolean losesAnswer() {
    return takeOne(answersToLose);
  }

  /** Takes one of the answers that are to be crossed, if any. */
  public boolean crossesAnswer() {
    return takeOne(answersToCross);
  }

  /** Takes one of the answers that are to be truncated, if any. */
  public boolean truncatesAnswer() {
    return takeOne(answersToTruncate);
  }

  /** Puts a fault into effect. */
  public synchronized void apply(Fault fault) {
    switch (fault.fault()) {
      case KILL -> kill();
      case PAUSE -> paused = true;
      case SLOW -> slow(fault);
      case COLD -> chill.run();
      case LOST_ANSWER -> answersToLose.addAndGet(fault.countOrOne());
      case CROSSED_ANSWER -> answersToCross.addAndGet(fault.countOrOne());
      case TRUNCATE -> answersToTruncate.addAndGet(fault.countOrOne());
      case SILENT -> silence();
      case IGNORE_FENCING -> ignoresFencing = true;
      case DOWN -> down = true;
      case LEAVING -> leave();
      case HEAL -> heal();
    }
    notifyAll();
  }

  /**
   * Waits while the host is paused or the connection is silenced.
   *
   * @throws IOException when the host died meanwhile, or the connection is gone
   */
  public synchronized void gate(Exchange exchange) throws IOException {
    long endMs = Clock.system().nowMs() + SILENCE_LIMIT_MS;
    while (alive && (paused || silenced.contains(exchange.connection()))) {
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

  /** Lets time pass as work would, stretched by the faults in effect. */
  public void work(Exchange exchange, long workMs) throws IOException {
    sleep(Math.round(workMs * slowFactor) + delayMs);
    gate(exchange);
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
      endpoint.shut();
    }
  }

  private void slow(Fault fault) {
    slowFactor = Math.max(1, fault.factor());
    delayMs = fault.delayMs();
  }

  private void silence() {
    if (endpoint != null) {
      silenced.addAll(endpoint.connections());
    }
  }

  private void leave() {
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
    answersToLose.set(0);
    answersToCross.set(0);
    answersToTruncate.set(0);
    if (leaving) {
      leaving = false;
      leavingChangedAtMs = Clock.system().nowMs();
    }
    if (!alive) {
      revive();
    }
  }

  private void revive() {
    restart.run();
    alive = true;
    aliveChangedAtMs = Clock.system().nowMs();
    if (endpoint != null) {
      endpoint.reopen();
    }
  }

  private static boolean isOlder(long timeMs, long lagMs) {
    return Clock.system().nowMs() - timeMs >= lagMs;
  }

  private static boolean takeOne(AtomicInteger left) {
    return left.getAndUpdate(count -> Math.max(0, count - 1)) > 0;
  }
}
