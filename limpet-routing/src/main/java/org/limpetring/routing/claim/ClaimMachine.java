package org.limpetring.routing.claim;

import com.google.common.collect.Iterables;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.limpetring.base.ResultCode;
import org.limpetring.base.RunState;

/**
 * State machine of the owner of one claim shard: decides which claims are granted and batches them
 * into conditional writes.
 *
 * <p>Uses group commit: DeWitt et al., "Implementation techniques for main memory database
 * systems", SIGMOD 1984. A claim is granted only when the stored object holds it with the attempt
 * of the request, so two concurrent owners cause no more than a write conflict. An owner never
 * frees a claim on its own, because the requester may have obtained it through another owner. Not
 * thread-safe.
 */
public final class ClaimMachine {

  private enum Phase {
    UNLOADED,
    LOADING,
    IDLE,
    WRITING
  }

  private record Pending(ClaimRequest request, long requestedMs, long deadlineMs) {}

  private final ClaimSettings settings;
  private final Map<String, Pending> waiting = new LinkedHashMap<>();
  private final Map<String, Pending> inWrite = new LinkedHashMap<>();
  private final SettlementQueue settlements;
  private final Set<String> runningAttempts = new HashSet<>();
  private final List<ClaimEffect> effects = new ArrayList<>();
  private Phase phase = Phase.UNLOADED;
  private ShardImage image = new ShardImage();
  private @Nullable ShardImage next;
  private long version;
  private long lastWriteMs = Long.MIN_VALUE / 2;
  private long loadStartedMs;
  private long imageConfirmedMs = Long.MIN_VALUE;

  /** Creates the state machine of a shard whose object has not been read. */
  public ClaimMachine(ClaimSettings settings) {
    this.settings = settings;
    this.settlements = new SettlementQueue(settings.settleDelayMs());
  }

  /**
   * Returns the effects of {@code event}.
   *
   * @param nowMs monotonic time
   * @param wallMs milliseconds since the Unix epoch; decides when keys are forgotten, never whether
   *     a forgotten key may run
   */
  public List<ClaimEffect> on(ClaimEvent event, long nowMs, long wallMs) {
    effects.clear();
    if (event instanceof ClaimEvent.Requested requested) {
      onRequested(requested, nowMs, wallMs);
    } else if (event instanceof ClaimEvent.Settled settled) {
      onSettled(settled.settlement(), nowMs);
    } else if (event instanceof ClaimEvent.Loaded loaded) {
      onLoaded(loaded, nowMs);
    } else if (event instanceof ClaimEvent.LoadFailed) {
      onLoadFailed(nowMs);
    } else if (event instanceof ClaimEvent.Written written) {
      onWritten(written.version());
    } else if (event instanceof ClaimEvent.WriteConflicted) {
      reload(nowMs);
    } else if (event instanceof ClaimEvent.WriteRefused) {
      onWriteRefused(nowMs);
    } else if (event instanceof ClaimEvent.WriteUnknown) {
      reload(nowMs);
    }
    expire(nowMs);
    startDueWork(nowMs, wallMs);
    return List.copyOf(effects);
  }

  /** Whether work can become due by the passing of time alone. */
  public boolean needsTick() {
    return !waiting.isEmpty() || !inWrite.isEmpty() || !settlements.isEmpty();
  }

  /** Returns the number of keys in the shard when it was last read or written. */
  public int keyCount() {
    return image.size();
  }

  private void onRequested(ClaimEvent.Requested requested, long nowMs, long wallMs) {
    ClaimRequest request = requested.request();
    if (request.keyTimeMs() > wallMs + settings.futureToleranceMs()
        || request.keyTimeMs() <= wallMs - settings.retentionMs()) {
      deny(request, ResultCode.KEY_EXPIRED);
      return;
    }
    if (waiting.containsKey(request.attempt()) || inWrite.containsKey(request.attempt())) {
      return;
    }
    Pending competing = pendingFor(request.id());
    if (competing != null) {
      boolean isSame = competing.request().requestDigest().equals(request.requestDigest());
      deny(request, isSame ? ResultCode.DUPLICATE_IN_PROGRESS : ResultCode.KEY_REUSED);
      return;
    }
    waiting.put(request.attempt(), new Pending(request, nowMs, requested.deadlineMs()));
  }

  private @Nullable Pending pendingFor(ClaimId id) {
    for (Pending pending : Iterables.concat(waiting.values(), inWrite.values())) {
      if (pending.request().id().equals(id)) {
        return pending;
      }
    }
    return null;
  }

  private void onSettled(ClaimSettlement settlement, long nowMs) {
    runningAttempts.remove(settlement.attempt());
    if (settlement.runState() == RunState.NOT_RUN) {
      withdraw(waiting.remove(settlement.attempt()));
      withdraw(inWrite.remove(settlement.attempt()));
    }
    settlements.add(settlement, nowMs);
  }

  private void withdraw(@Nullable Pending pending) {
    if (pending != null) {
      deny(pending.request(), ResultCode.CLAIM_UNAVAILABLE);
    }
  }

  private void onLoaded(ClaimEvent.Loaded loaded, long nowMs) {
    if (phase != Phase.LOADING) {
      return;
    }
    try {
      image = loaded.version() == 0 ? new ShardImage() : ShardImage.decode(loaded.text());
    } catch (IllegalArgumentException damaged) {
      onLoadFailed(nowMs);
      return;
    }
    version = loaded.version();
    phase = Phase.IDLE;
    imageConfirmedMs = loadStartedMs;
  }

  private void onLoadFailed(long nowMs) {
    if (phase != Phase.LOADING) {
      return;
    }
    phase = Phase.UNLOADED;
    denyAll(waiting);
    settlements.restore(nowMs);
  }

  private void onWritten(long newVersion) {
    if (phase != Phase.WRITING || next == null) {
      return;
    }
    image = next;
    next = null;
    version = newVersion;
    phase = Phase.IDLE;
    imageConfirmedMs = lastWriteMs;
    settlements.written();
    for (Pending pending : inWrite.values()) {
      grant(pending.request());
    }
    inWrite.clear();
  }

  private void reload(long nowMs) {
    if (phase != Phase.WRITING) {
      return;
    }
    next = null;
    phase = Phase.UNLOADED;
    Map<String, Pending> newer = new LinkedHashMap<>(waiting);
    waiting.clear();
    waiting.putAll(inWrite);
    waiting.putAll(newer);
    inWrite.clear();
    settlements.restore(nowMs);
  }

  private void onWriteRefused(long nowMs) {
    if (phase != Phase.WRITING) {
      return;
    }
    next = null;
    phase = Phase.IDLE;
    denyAll(inWrite);
    denyAll(waiting);
    settlements.restore(nowMs);
  }

  private void denyAll(Map<String, Pending> requests) {
    List<Pending> denied = List.copyOf(requests.values());
    requests.clear();
    for (Pending pending : denied) {
      deny(pending.request(), ResultCode.CLAIM_UNAVAILABLE);
    }
  }

  private void expire(long nowMs) {
    expire(waiting, nowMs);
    expire(inWrite, nowMs);
  }

  private void expire(Map<String, Pending> requests, long nowMs) {
    for (Pending pending : List.copyOf(requests.values())) {
      if (pending.deadlineMs() <= nowMs) {
        requests.remove(pending.request().attempt());
        deny(pending.request(), ResultCode.CLAIM_UNAVAILABLE);
      }
    }
  }

  private void startDueWork(long nowMs, long wallMs) {
    if (phase == Phase.UNLOADED && (!waiting.isEmpty() || settlements.isDue(nowMs))) {
      load(nowMs);
      return;
    }
    if (phase == Phase.IDLE && isWriteDue(nowMs)) {
      write(nowMs, wallMs);
    }
  }

  private boolean isWriteDue(long nowMs) {
    if (nowMs < lastWriteMs + settings.writeIntervalMs()) {
      return false;
    }
    if (settlements.isDue(nowMs)) {
      return true;
    }
    Iterator<Pending> each = waiting.values().iterator();
    return each.hasNext() && nowMs >= each.next().requestedMs() + settings.batchDelayMs();
  }

  private void load(long nowMs) {
    phase = Phase.LOADING;
    loadStartedMs = nowMs;
    effects.add(new ClaimEffect.Load());
  }

  private void write(long nowMs, long wallMs) {
    if (waiting.values().stream().anyMatch(this::needsFresherImage)) {
      load(nowMs);
      return;
    }
    ShardImage draft = image.copy();
    draft.raiseFloor(wallMs - settings.retentionMs());
    boolean isChanged = settlements.applyTo(draft);
    for (Pending pending : waiting.values()) {
      isChanged |= addToDraft(pending, draft);
    }
    waiting.clear();
    if (!isChanged) {
      settlements.written();
      return;
    }
    lastWriteMs = nowMs;
    next = draft;
    phase = Phase.WRITING;
    effects.add(new ClaimEffect.Write(draft.encode(), version));
  }

  /** Whether the image must be read again, because another owner may have freed the key since. */
  private boolean needsFresherImage(Pending pending) {
    return image.find(pending.request().id()) != null && imageConfirmedMs < pending.requestedMs();
  }

  private boolean addToDraft(Pending pending, ShardImage draft) {
    ClaimRequest request = pending.request();
    ClaimEntry entry = draft.find(request.id());
    if (entry != null) {
      decideByEntry(request, entry);
      return false;
    }
    if (request.keyTimeMs() <= draft.floorMs()) {
      deny(request, ResultCode.KEY_EXPIRED);
      return false;
    }
    if (draft.size() >= ShardImage.MAX_KEYS) {
      deny(request, ResultCode.CLAIM_UNAVAILABLE);
      return false;
    }
    draft.add(request);
    inWrite.put(request.attempt(), pending);
    return true;
  }

  private void decideByEntry(ClaimRequest request, ClaimEntry entry) {
    if (!entry.requestDigest().equals(request.requestDigest())) {
      deny(request, ResultCode.KEY_REUSED);
      return;
    }
    if (entry.state() == ClaimEntry.State.DONE) {
      deny(request, ResultCode.DUPLICATE_DONE);
      return;
    }
    if (entry.state() == ClaimEntry.State.UNKNOWN) {
      deny(request, ResultCode.DUPLICATE_UNKNOWN);
      return;
    }
    if (entry.attempt().equals(request.attempt())) {
      grant(request);
      return;
    }
    boolean isRunning = runningAttempts.contains(entry.attempt());
    deny(request, isRunning ? ResultCode.DUPLICATE_IN_PROGRESS : ResultCode.DUPLICATE_UNKNOWN);
  }

  private void grant(ClaimRequest request) {
    runningAttempts.add(request.attempt());
    effects.add(new ClaimEffect.Respond(request.attempt(), new ClaimDecision.Granted()));
  }

  private void deny(ClaimRequest request, ResultCode code) {
    effects.add(new ClaimEffect.Respond(request.attempt(), new ClaimDecision.Denied(code)));
  }
}
