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
 * Decides which claims of one shard are granted, and gathers them into conditional writes.
 *
 * <p>Group commit after DeWitt et al., "Implementation techniques for main memory database
 * systems", SIGMOD 1984. A claim is granted only when the object holds it with the attempt of the
 * request, so two owners at once only cost a conflict. An owner never frees a claim by itself: the
 * requester may have got it through another owner. One thread uses a machine at a time.
 */
public final class ClaimMachine {

  private enum Phase {
    UNLOADED,
    LOADING,
    IDLE,
    WRITING
  }

  private record Pending(ClaimRequest request, long askedMs, long deadlineMs) {}

  private final ClaimSettings settings;
  private final Map<String, Pending> waiting = new LinkedHashMap<>();
  private final Map<String, Pending> inWrite = new LinkedHashMap<>();
  private final SettlementQueue settlements;
  private final Set<String> inProgress = new HashSet<>();
  private final List<ClaimEffect> effects = new ArrayList<>();
  private Phase phase = Phase.UNLOADED;
  private ShardImage image = new ShardImage();
  private @Nullable ShardImage next;
  private long version;
  private long lastWriteMs = Long.MIN_VALUE / 2;
  private long loadStartedMs;
  private long confirmedMs = Long.MIN_VALUE;

  /** Machine of a shard whose object has not been read. */
  public ClaimMachine(ClaimSettings settings) {
    this.settings = settings;
    this.settlements = new SettlementQueue(settings.settleDelayMs());
  }

  /**
   * Effects of {@code event}.
   *
   * @param nowMs monotonic time
   * @param wallMs milliseconds since the Unix epoch; decides when keys are forgotten, not whether a
   *     forgotten key may run
   */
  public List<ClaimEffect> on(ClaimEvent event, long nowMs, long wallMs) {
    effects.clear();
    if (event instanceof ClaimEvent.Asked asked) {
      onAsked(asked, nowMs, wallMs);
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
    pump(nowMs, wallMs);
    return List.copyOf(effects);
  }

  /** Whether time alone will bring work. */
  public boolean needsTick() {
    return !waiting.isEmpty() || !inWrite.isEmpty() || !settlements.isEmpty();
  }

  /** Keys that the shard held when last read or written. */
  public int keyCount() {
    return image.size();
  }

  private void onAsked(ClaimEvent.Asked asked, long nowMs, long wallMs) {
    ClaimRequest request = asked.request();
    if (request.keyTimeMs() > wallMs + settings.futureToleranceMs()
        || request.keyTimeMs() <= wallMs - settings.retentionMs()) {
      deny(request, ResultCode.KEY_EXPIRED);
      return;
    }
    if (waiting.containsKey(request.attempt()) || inWrite.containsKey(request.attempt())) {
      return;
    }
    Pending other = pendingFor(request.id());
    if (other != null) {
      boolean isSame = other.request().requestDigest().equals(request.requestDigest());
      deny(request, isSame ? ResultCode.DUPLICATE_IN_PROGRESS : ResultCode.KEY_REUSED);
      return;
    }
    waiting.put(request.attempt(), new Pending(request, nowMs, asked.deadlineMs()));
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
    inProgress.remove(settlement.attempt());
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
    confirmedMs = loadStartedMs;
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
    confirmedMs = lastWriteMs;
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
    Map<String, Pending> later = new LinkedHashMap<>(waiting);
    waiting.clear();
    waiting.putAll(inWrite);
    waiting.putAll(later);
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

  private void denyAll(Map<String, Pending> among) {
    List<Pending> denied = List.copyOf(among.values());
    among.clear();
    for (Pending pending : denied) {
      deny(pending.request(), ResultCode.CLAIM_UNAVAILABLE);
    }
  }

  private void expire(long nowMs) {
    expire(waiting, nowMs);
    expire(inWrite, nowMs);
  }

  private void expire(Map<String, Pending> among, long nowMs) {
    for (Pending pending : List.copyOf(among.values())) {
      if (pending.deadlineMs() <= nowMs) {
        among.remove(pending.request().attempt());
        deny(pending.request(), ResultCode.CLAIM_UNAVAILABLE);
      }
    }
  }

  private void pump(long nowMs, long wallMs) {
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
    return each.hasNext() && nowMs >= each.next().askedMs() + settings.gatherMs();
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
      isChanged |= include(pending, draft);
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

  /** Another owner may have freed the key since the image was read. */
  private boolean needsFresherImage(Pending pending) {
    return image.find(pending.request().id()) != null && confirmedMs < pending.askedMs();
  }

  private boolean include(Pending pending, ShardImage draft) {
    ClaimRequest request = pending.request();
    ClaimEntry entry = draft.find(request.id());
    if (entry != null) {
      answerKnown(request, entry);
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

  private void answerKnown(ClaimRequest request, ClaimEntry entry) {
    if (!entry.requestDigest().equals(request.requestDigest())) {
      deny(request, ResultCode.KEY_REUSED);
      return;
    }
    if (entry.fate() == ClaimEntry.Fate.DONE) {
      deny(request, ResultCode.DUPLICATE_DONE);
      return;
    }
    if (entry.fate() == ClaimEntry.Fate.UNKNOWN) {
      deny(request, ResultCode.DUPLICATE_UNKNOWN);
      return;
    }
    if (entry.attempt().equals(request.attempt())) {
      grant(request);
      return;
    }
    boolean isRunning = inProgress.contains(entry.attempt());
    deny(request, isRunning ? ResultCode.DUPLICATE_IN_PROGRESS : ResultCode.DUPLICATE_UNKNOWN);
  }

  private void grant(ClaimRequest request) {
    inProgress.add(request.attempt());
    effects.add(new ClaimEffect.Answer(request.attempt(), new ClaimDecision.Granted()));
  }

  private void deny(ClaimRequest request, ResultCode code) {
    effects.add(new ClaimEffect.Answer(request.attempt(), new ClaimDecision.Denied(code)));
  }
}
