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
 * Runs the {@link ClaimMachine} of one shard against the object store, in a thread of its own.
 *
 * <p>While the thread waits for the store, further claims are queued and form the next batch.
 */
public final class ClaimShardRunner implements AutoCloseable {

  private static final Logger LOGGER = Logger.getLogger(ClaimShardRunner.class);
  private static final int MAX_QUEUED_EVENTS = 20_000;
  private static final long BUSY_POLL_MS = 1;
  private static final long IDLE_POLL_MS = 250;
  private static final long STOP_TIMEOUT_MS = 2_000;

  private record Message(ClaimEvent event, @Nullable CompletableFuture<ClaimDecision> decision) {}

  private final String objectKey;
  private final ObjectStore store;
  private final Clock clock;
  private final Clock wall;
  private final ClaimMachine machine;
  private final BlockingQueue<Message> inbox = new LinkedBlockingQueue<>(MAX_QUEUED_EVENTS);
  private final Map<String, CompletableFuture<ClaimDecision>> futures = new HashMap<>();
  private final Thread thread;
  private volatile boolean isClosed;

  /** Creates a runner and starts its thread. */
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
   * Claims a key; may be called from any thread.
   *
   * @param timeoutMs time after which the claim is denied as unavailable
   */
  public CompletableFuture<ClaimDecision> claim(ClaimRequest request, long timeoutMs) {
    CompletableFuture<ClaimDecision> decision = new CompletableFuture<>();
    Message message =
        new Message(new ClaimEvent.Requested(request, clock.nowMs() + timeoutMs), decision);
    if (isClosed || !inbox.offer(message)) {
      decision.complete(new ClaimDecision.Denied(ResultCode.CLAIM_UNAVAILABLE));
    }
    return decision;
  }

  /** Records the outcome of a claim; dropped if the queue is full, which leaves the key claimed. */
  public void settle(ClaimSettlement settlement) {
    if (!inbox.offer(new Message(new ClaimEvent.Settled(settlement), null))) {
      LogEvent.CLAIM_LOST_ANSWER.log(LOGGER, objectKey);
    }
  }

  /** Stops the thread; pending claims are denied. */
  @Override
  public void close() throws InterruptedException {
    isClosed = true;
    thread.interrupt();
    thread.join(STOP_TIMEOUT_MS);
  }

  private void run() {
    try {
      while (!isClosed) {
        Message message =
            inbox.poll(machine.needsTick() ? BUSY_POLL_MS : IDLE_POLL_MS, TimeUnit.MILLISECONDS);
        process(message);
      }
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    } finally {
      denyAll();
    }
  }

  private void process(@Nullable Message message) {
    ClaimEvent received = message == null ? new ClaimEvent.Tick() : message.event();
    if (message != null
        && message.decision() != null
        && message.event() instanceof ClaimEvent.Requested requested) {
      registerFuture(requested.request().attempt(), message.decision());
    }
    Queue<ClaimEvent> events = new ArrayDeque<>();
    events.add(received);
    while (!events.isEmpty()) {
      for (ClaimEffect effect : machine.on(events.remove(), clock.nowMs(), wall.nowMs())) {
        ClaimEvent followUp = execute(effect);
        if (followUp != null) {
          events.add(followUp);
        }
      }
    }
  }

  /**
   * Completes a retried claim request together with the first one, so that both receive the
   * decision.
   */
  private void registerFuture(String attempt, CompletableFuture<ClaimDecision> decision) {
    CompletableFuture<ClaimDecision> registered = futures.putIfAbsent(attempt, decision);
    if (registered != null) {
      registered.thenAccept(decision::complete).exceptionally(failure -> null);
    }
  }

  private @Nullable ClaimEvent execute(ClaimEffect effect) {
    if (effect instanceof ClaimEffect.Load) {
      return load();
    }
    if (effect instanceof ClaimEffect.Write write) {
      return write(write);
    }
    if (effect instanceof ClaimEffect.Respond respond) {
      CompletableFuture<ClaimDecision> future = futures.remove(respond.attempt());
      if (future != null) {
        future.complete(respond.decision());
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

  private void denyAll() {
    ClaimDecision denial = new ClaimDecision.Denied(ResultCode.CLAIM_UNAVAILABLE);
    for (Message message : inbox) {
      if (message.decision() != null) {
        message.decision().complete(denial);
      }
    }
    futures.values().forEach(future -> future.complete(denial));
  }
}
