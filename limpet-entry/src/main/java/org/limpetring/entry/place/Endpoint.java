package org.limpetring.entry.place;

import org.jspecify.annotations.Nullable;
import org.limpetring.entry.model.EngineSpec;
import org.limpetring.entry.model.ModelSpec;
import org.limpetring.entry.model.Upstream;

/**
 * Where requests can run: the head of a serving group, or a plain upstream, with what this daemon
 * knows of its load.
 *
 * <p>Requests in progress are this daemon's own count, which is exact, plus what the other daemons
 * last said of theirs.
 */
public final class Endpoint {

  /** Weight of a new pass time in the moving average. */
  private static final double PASS_WEIGHT = 0.2;

  /** Weight of one more outcome in the moving share of failures. */
  private static final double FAILURE_WEIGHT = 0.2;

  /** Share of failures at which an upstream rests; ordinary services fail up to one in seven. */
  private static final double EJECT_SHARE = 0.55;

  /** First rest of an upstream that fails; doubles with each rest in a row. */
  private static final long EJECT_MS = 1_500;

  private static final long MAX_EJECT_MS = 6_000;

  /** Added to two passes before a silence counts; ways and timers take some of it. */
  private static final double SILENCE_SLACK_MS = 100;

  /** Pass times count for this long; without new ones the engine's figures hold. */
  private static final long PASS_VALID_MS = 3_000;

  private final String key;
  private final Upstream upstream;
  private final @Nullable EngineSpec engine;
  private final @Nullable ModelSpec model;
  private final int slots;
  private int ownInFlight;
  private int peerInFlight;
  private long ownReadingTokens;
  private double passMs;
  private long passSeenMs = Long.MIN_VALUE / 2;
  private double failureShare;
  private long ejectMs = EJECT_MS;
  private long ejectedUntilMs = Long.MIN_VALUE / 2;
  private long lastProgressMs = Long.MIN_VALUE / 2;
  private long suspectedUntilMs = Long.MIN_VALUE / 2;
  private long fullUntilMs = Long.MIN_VALUE / 2;

  /**
   * Endpoint without load.
   *
   * @param key names the life of the upstream and, for a head, its group and epoch
   */
  public Endpoint(
      String key, Upstream upstream, @Nullable EngineSpec engine, @Nullable ModelSpec model) {
    this.key = key;
    this.upstream = upstream;
    this.engine = engine;
    this.model = model;
    this.slots = engine == null ? upstream.slots() : engine.slots();
  }

  /** Names this place as long as it serves without a break. */
  public String key() {
    return key;
  }

  /** The upstream that takes the requests. */
  public Upstream upstream() {
    return upstream;
  }

  /** The model that is served; null for a plain service. */
  public @Nullable ModelSpec model() {
    return model;
  }

  /** Requests that run at once. */
  public int slots() {
    return slots;
  }

  /** Requests in progress here, of all daemons. */
  public int inFlight() {
    return ownInFlight + peerInFlight;
  }

  /** Requests in progress here, of this daemon. */
  public int ownInFlight() {
    return ownInFlight;
  }

  /** Takes over what the other daemons say of theirs. */
  public void setPeerInFlight(int count) {
    peerInFlight = count;
  }

  /** Whether a place is free for one more request. */
  public boolean hasFreeSlot(long nowMs) {
    return inFlight() < slots && nowMs >= fullUntilMs;
  }

  /** Whether new requests may go here at all. */
  public boolean isUsable(long nowMs) {
    return nowMs >= suspectedUntilMs && nowMs >= ejectedUntilMs;
  }

  /** The upstream said that it is full; gives it time to answer some requests. */
  public void onSaturated(long nowMs) {
    fullUntilMs = nowMs + (long) Math.max(20, currentPassMs(nowMs));
  }

  /** A request was sent here. */
  public void onSent(int promptTokens, long nowMs) {
    if (ownInFlight == 0) {
      lastProgressMs = nowMs;
    }
    ownInFlight++;
    ownReadingTokens += promptTokens;
  }

  /** A request's first event or answer came. */
  public void onFirstEvent(int promptTokens) {
    ownReadingTokens = Math.max(0, ownReadingTokens - promptTokens);
  }

  /** A request ended, well or not. */
  public void onEnded() {
    ownInFlight = Math.max(0, ownInFlight - 1);
  }

  /** Bytes of an answer came. */
  public void onProgress(long nowMs) {
    lastProgressMs = nowMs;
    suspectedUntilMs = nowMs;
  }

  /** Two events of one stream came {@code gapMs} apart. */
  public void onEventGap(double gapMs, long nowMs) {
    passMs = nowMs - passSeenMs > PASS_VALID_MS ? gapMs : passMs + PASS_WEIGHT * (gapMs - passMs);
    passSeenMs = nowMs;
  }

  /** A request ended in success, or in a failure that is the upstream's. */
  public void onOutcome(boolean isSuccess, long nowMs) {
    failureShare += FAILURE_WEIGHT * ((isSuccess ? 0 : 1) - failureShare);
    if (isSuccess && failureShare < EJECT_SHARE / 2) {
      ejectMs = EJECT_MS;
    }
    if (!isSuccess && failureShare > EJECT_SHARE) {
      ejectedUntilMs = nowMs + ejectMs;
      ejectMs = Math.min(MAX_EJECT_MS, ejectMs * 2);
      failureShare = EJECT_SHARE / 2;
    }
  }

  /** Whether the upstream rests after failures. */
  public boolean isEjected(long nowMs) {
    return nowMs < ejectedUntilMs;
  }

  /** Time without a byte while requests are in progress; 0 while none is. */
  public long silentMs(long nowMs) {
    return ownInFlight == 0 ? 0 : nowMs - lastProgressMs;
  }

  /** Whether the group seems to stand still. */
  public boolean isSuspected(long nowMs) {
    return nowMs < suspectedUntilMs;
  }

  /** Keeps new requests away until then; an earlier time ends it. */
  public void suspectUntil(long untilMs) {
    suspectedUntilMs = untilMs;
  }

  /** Time of one pass over the requests in progress: as seen lately, else from the figures. */
  public double currentPassMs(long nowMs) {
    if (engine == null) {
      return 0;
    }
    return nowMs - passSeenMs <= PASS_VALID_MS
        ? Math.max(passMs, plannedPassMs() / 2)
        : plannedPassMs();
  }

  /** Pass time without reading, from the engine's figures. */
  private double plannedPassMs() {
    if (engine == null) {
      return 0;
    }
    double contextTokens = engine.typicalPromptTokens() + engine.typicalOutputTokens() / 2;
    double perRequestMs = engine.perSequenceMs() + engine.perContextTokenMs() * contextTokens;
    return engine.stride()
        * (engine.stepMs() + perRequestMs * Math.min(slots, inFlight()))
        * pace();
  }

  private double pace() {
    return model == null ? 1 : model.pace();
  }

  /** Expected time from sending a request until its first event arrives here. */
  public double firstEventMs(int promptTokens, long nowMs) {
    if (engine == null) {
      return 0;
    }
    double pass = currentPassMs(nowMs);
    double reading = (ownReadingTokens + promptTokens) / engine.prefillTokensPerMs() * pace();
    double waiting = inFlight() < slots ? 0 : (inFlight() - slots + 1) * runMs(nowMs) / slots;
    return waiting + pass / 2 + reading + plannedPassMs();
  }

  /** Expected time that a usual request holds its place. */
  public double runMs(long nowMs) {
    if (engine == null) {
      return 0;
    }
    return engine.typicalPromptTokens() / engine.prefillTokensPerMs() * pace()
        + engine.typicalOutputTokens() / engine.stride() * currentPassMs(nowMs);
  }

  /** Longest silence that a sound group shows while requests are in progress. */
  public double silenceLimitMs(long nowMs) {
    if (engine == null) {
      return Double.MAX_VALUE;
    }
    double chunkMs =
        Math.min(engine.prefillChunkTokens(), 8_192) / engine.prefillTokensPerMs() * pace();
    return 2 * (currentPassMs(nowMs) + chunkMs) + SILENCE_SLACK_MS;
  }
}
