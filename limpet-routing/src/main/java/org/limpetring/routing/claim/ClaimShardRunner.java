package org.limpetring.routing.claim;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.jboss.logging.Logger;
import org.jspecify.annotations.Nullable;
import org.limpetring.base.Clock;
import org.limpetring.base.LogEvent;
import org.limpetring.base.ResultCode;
import org.limpetring.store.ObjectStore;
import org.limpetring.store.ReadResult;
import org.limpetring.store.WriteResult;

/**
 * Runs the machine of one shard of claims over the platform, in a thread of its own.
 *
 * <p>While the thread waits for the platform, further claims gather in its queue.
 */
public final class ClaimShardRunner implements AutoCloseable {

  private static final Logger LOGGER = Logger.getLogger(ClaimShardRunner.class);
  private static final int MAX_QUEUE = 20_000;
  private static final long TICK_MS = 1;
  private static final long IDLE_MS = 250;
  private static final long STOP_MS = 2_000;

  private record Mail(ClaimEvent event, @Nullable CompletableFuture<ClaimDecision> answer) {}

  private final String objectKey;
  private final ObjectStore store;
  private final Clock clock;
  private final Clock wall;
  private final ClaimMachine machine;
  private final BlockingQueue<Mail> mails = new LinkedBlockingQueue<>(MAX_QUEUE);
  private final Map<String, CompletableFuture<ClaimDecision>> futures = new HashMap<>();
  private final Thread thread;
  private volatile boolean isClosed;

  /** Starts the thread of shard {@code shard}. */
  public ClaimShardRunner(
      int shard, ObjectStore store, Clock clock, Clock wall, ClaimSettings settings) {
    this.objectKey = "claims/" + shard;
    this.store = store;
    this.clock = clock;
    this.wall = wall;
    this.machine = new ClaimMachine(settings);
    this.thread = new Thread(this::run, "claims-" + shard);
    thread.setDaemon(true);
    thread.start();
  }

  /**
   * Claims a key; may be called by any thread.
   *
   * @param timeoutMs time after which the claim is refused as unavailable
   */
  public CompletableFuture<ClaimDecision> claim(ClaimRequest request, long timeoutMs) {
    CompletableFuture<ClaimDecision> answer = new CompletableFuture<>();
    Mail mail = new Mail(new ClaimEvent.Asked(request, clock.nowMs() + timeoutMs), answer);
    if (isClosed || !mails.offer(mail)) {
      answer.complete(new ClaimDecision.Denied(ResultCode.CLAIM_UNAVAILABLE));
    }
    return answer;
  }

  /** Records what became of a claim; lost where the queue is full, which keeps the key claimed. */
  public void settle(ClaimSettlement settlement) {
    if (!mails.offer(new Mail(new ClaimEvent.Settled(settlement), null))) {
      LogEvent.CLAIM_LOST_ANSWER.log(LOGGER, objectKey);
    }
  }

  /** Ends the thread; claims that wait are refused. */
  @Override
  public void close() throws InterruptedException {
    isClosed = true;
    thread.interrupt();
    thread.join(STOP_MS);
  }

  private void run() {
    try {
      while (!isClosed) {
        Mail mail = mails.poll(machine.needsTick() ? TICK_MS : IDLE_MS, TimeUnit.MILLISECONDS);
        play(mail);
      }
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    } finally {
      refuseAll();
    }
  }

  private void play(@Nullable Mail mail) {
    ClaimEvent first = mail == null ? new ClaimEvent.Tick() : mail.event();
    if (mail != null && mail.answer() != null && mail.event() instanceof ClaimEvent.Asked asked) {
      remember(asked.request().attempt(), mail.answer());
    }
    Queue<ClaimEvent> events = new ArrayDeque<>();
    events.add(first);
    while (!events.isEmpty()) {
      for (ClaimEffect effect : machine.on(events.remove(), clock.nowMs(), wall.nowMs())) {
        ClaimEvent next = carryOut(effect);
        if (next != null) {
          events.add(next);
        }
      }
    }
  }

  /** A repeated wish joins the first, so that both hear its answer. */
  private void remember(String attempt, CompletableFuture<ClaimDecision> answer) {
    CompletableFuture<ClaimDecision> first = futures.putIfAbsent(attempt, answer);
    if (first != null) {
      first.thenAccept(answer::complete).exceptionally(failure -> null);
    }
  }

  private @Nullable ClaimEvent carryOut(ClaimEffect effect) {
    if (effect instanceof ClaimEffect.Load) {
      return load();
    }
    if (effect instanceof ClaimEffect.Write write) {
      return write(write);
    }
    if (effect instanceof ClaimEffect.Answer answer) {
      CompletableFuture<ClaimDecision> future = futures.remove(answer.attempt());
      if (future != null) {
        future.complete(answer.answer());
      }
    }
    return null;
  }

  private ClaimEvent load() {
    ReadResult result = store.get(objectKey);
    if (result instanceof ReadResult.Found found) {
      return new ClaimEvent.Loaded(found.object().value(), found.object().version());
    }
    return result instanceof ReadResult.Missing
        ? new ClaimEvent.Loaded("", 0)
        : new ClaimEvent.LoadFailed();
  }

  private ClaimEvent write(ClaimEffect.Write write) {
    WriteResult result = store.put(objectKey, write.text(), write.expectedVersion());
    if (result instanceof WriteResult.Written written) {
      return new ClaimEvent.Written(written.version());
    }
    if (result instanceof WriteResult.Conflict) {
      return new ClaimEvent.WriteConflicted();
    }
    if (result instanceof WriteResult.Unavailable) {
      return new ClaimEvent.WriteRefused();
    }
    LogEvent.CLAIM_LOST_ANSWER.log(LOGGER, objectKey);
    return new ClaimEvent.WriteUnknown();
  }

  private void refuseAll() {
    ClaimDecision refusal = new ClaimDecision.Denied(ResultCode.CLAIM_UNAVAILABLE);
    for (Mail mail : mails) {
      if (mail.answer() != null) {
        mail.answer().complete(refusal);
      }
    }
    futures.values().forEach(future -> future.complete(refusal));
  }
}
