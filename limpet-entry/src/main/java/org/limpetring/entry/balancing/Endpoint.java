package org.limpetring.entry.balancing;

import org.jspecify.annotations.Nullable;
import org.limpetring.entry.model.EngineSpec;
import org.limpetring.entry.model.ModelSpec;
import org.limpetring.entry.model.Upstream;

/**
 * Target of requests, which is the head of a serving group or a plain upstream, with its load as
 * known to this daemon.
 *
 * <p>The number of requests in progress is the sum of this daemon's own exact count and the counts
 * that other daemons last reported.
 */
public final class Endpoint {

  /** Weight of a new pass time in the moving average. */
  private static final double PASS_WEIGHT = 0.2;

  /** Weight of a new outcome in the moving average of the failure rate. */
  private static final double OUTCOME_WEIGHT = 0.2;

  /** Failure rate that ejects an upstream; ordinary services fail up to one in seven requests. */
  private static final double EJECT_FAILURE_RATE = 0.55;

  /** First ejection time; doubles with each consecutive ejection. */
  private static final long EJECT_MS = 1_500;

  private static final long MAX_EJECT_MS = 6_000;

  /** Added to the silence limit of two passes for network delay and timer inaccuracy. */
  private static final double SILENCE_SLACK_MS = 100;

  /** Measured pass times are used for this long; after that the engine's configured figures are. */
  private static final long PASS_VALID_MS = 3_000;

  /** End of a pause that never was. */
  static final long NEVER_PAUSED_MS = Long.MIN_VALUE / 2;

  /** Time after a pause within which requests return gradually. */
  static final long RETURN_MS = 1_000;

  private final String key;
  private final Upstream upstream;
  private final @Nullable EngineSpec engine;
  private final @Nullable ModelSpec model;
  private final int slots;
  private int ownInFlight;
  private int peerInFlight;
  private boolean isPoolShort;

  /** Most requests of this daemon in progress since the last and since the last but one load. */
  private int peakInFlight;

  private int previousPeak;
  private int ownLimit = Integer.MAX_VALUE;
  private int ownUnanswered;
  private int unansweredLimit = Integer.MAX_VALUE;
  private double ownPrefillMs;
  private FirstEventOffset offset = new FirstEventOffset();
  private double passMs;
  private long passMeasuredMs = Long.MIN_VALUE / 2;
  private double failureRate;
  private long ejectMs = EJECT_MS;
  private long ejectedUntilMs = Long.MIN_VALUE / 2;
  private long lastProgressMs = Long.MIN_VALUE / 2;
  private long suspectedUntilMs = Long.MIN_VALUE / 2;
  private long fullUntilMs = Long.MIN_VALUE / 2;
  private long pausedUntilMs = NEVER_PAUSED_MS;
  private boolean isRateLimited;
  private double ownRatePerMs;
  private long nextSendMs;

  /**
   * Creates an endpoint without load.
   *
   * @param key identifies the upstream's incarnation and, for a head, its group and epoch
   */
  public Endpoint(
      String key, Upstream upstream, @Nullable EngineSpec engine, @Nullable ModelSpec model) {
    this.key = key;
    this.upstream = upstream;
    this.engine = engine;
    this.model = model;
    this.slots = engine == null ? upstream.slots() : engine.slots();
  }

  /** Identifies this endpoint as long as it serves without interruption. */
  public String key() {
    return key;
  }

  /** Returns the upstream that receives the requests. */
  public Upstream upstream() {
    return upstream;
  }

  /** Returns the served model; null for a plain service. */
  public @Nullable ModelSpec model() {
    return model;
  }

  /** Returns the number of requests that run concurrently. */
  public int slots() {
    return slots;
  }

  /** Returns the number of requests in progress from all daemons. */
  public int inFlight() {
    return ownInFlight + peerInFlight;
  }

  /** Returns the number of requests in progress from this daemon. */
  public int ownInFlight() {
    return ownInFlight;
  }

  /** Returns the number of requests in progress from the other daemons, as last announced. */
  public int peerInFlight() {
    return peerInFlight;
  }

  /** Sets how many requests this daemon may have in progress here; see {@link SlotShares}. */
  public void setOwnLimit(int limit) {
    ownLimit = limit;
  }

  /** Sets how many requests of this daemon may wait for a first event; see {@link UpstreamPace}. */
  public void setUnansweredLimit(int limit) {
    unansweredLimit = limit;
  }

  /** Sets whether requests that can be on time are refused for want of a slot. */
  public void setPoolShort(boolean isShort) {
    isPoolShort = isShort;
  }

  /**
   * Called when this daemon announces its load; returns the slots that it announces as taken. While
   * the pool is short of slots these are all that it lately used: one that was announced as free in
   * the moment between two requests would be given to others and be used again here as well. What
   * it did not use is given up at once.
   */
  public int announceSlots() {
    int recentPeak = Math.max(previousPeak, peakInFlight);
    previousPeak = peakInFlight;
    peakInFlight = ownInFlight;
    if (!isPoolShort || isRateLimited || ownLimit > slots) {
      return ownInFlight;
    }
    ownLimit = Math.max(ownInFlight, Math.min(recentPeak, ownLimit));
    return ownLimit;
  }

  /** Sets the number of requests in progress that the other daemons report. */
  public void setPeerInFlight(int count) {
    peerInFlight = count;
  }

  /** Whether a slot is free for another request of this daemon. */
  public boolean hasFreeSlot(long nowMs) {
    return inFlight() < slots
        && (isRateLimited || isPaced() || ownInFlight < ownLimit)
        && ownUnanswered < unansweredLimit
        && nowMs >= fullUntilMs
        && ownInFlight < returnLimit(nowMs);
  }

  /** Whether the few daemons that may send are chosen by {@link UpstreamPace}, not by shares. */
  private boolean isPaced() {
    return unansweredLimit != Integer.MAX_VALUE;
  }

  /** Returns how many more requests this daemon may send here as far as slots are concerned. */
  public int freeSlots() {
    int free = slots - inFlight();
    return Math.max(0, isRateLimited ? free : Math.min(free, ownLimit - ownInFlight));
  }

  /** Limit of requests in progress after a pause; without it all that wait would come at once. */
  private long returnLimit(long nowMs) {
    long sinceMs = nowMs - pausedUntilMs;
    return sinceMs >= RETURN_MS ? Integer.MAX_VALUE : 1 + slots * Math.max(0, sinceMs) / RETURN_MS;
  }

  /** Pauses new requests until {@code untilMs}, as the upstream asked for. */
  public void pauseUntil(long untilMs) {
    pausedUntilMs = untilMs;
  }

  /** Returns the time until the upstream takes requests again; 0 if it is not paused. */
  public long pauseLeftMs(long nowMs) {
    return Math.max(0, pausedUntilMs - nowMs);
  }

  /** Sets this daemon's share of the rate that the upstream takes; see {@link UpstreamLimits}. */
  public void limitRate(double requestsPerMs, long untilMs) {
    isRateLimited = true;
    ownRatePerMs = requestsPerMs;
    nextSendMs = untilMs;
  }

  /** Removes the limit of the rate. */
  public void unlimitRate() {
    isRateLimited = false;
  }

  /** Whether the upstream limits the rate of requests, so that free slots say nothing. */
  public boolean isRateLimited() {
    return isRateLimited;
  }

  /** Returns the requests per ms that this daemon may send here while the rate is limited. */
  public double ownRatePerMs() {
    return ownRatePerMs;
  }

  /** Returns the expected time until this daemon may send a request here while it is limited. */
  public double rateWaitMs(long nowMs) {
    double slotMs = hasFreeSlot(nowMs) ? 0 : runMs(nowMs) / slots;
    return Math.max(slotMs, (double) Math.max(0, nextSendMs - nowMs));
  }

  /** Whether the rate that the upstream takes leaves room for a request of this daemon now. */
  public boolean isWithinRate(long nowMs) {
    return !isRateLimited || nowMs >= nextSendMs;
  }

  /**
   * Whether new requests may be sent here, which excludes suspected, ejected and paused endpoints.
   */
  public boolean isUsable(long nowMs) {
    return nowMs >= suspectedUntilMs && nowMs >= ejectedUntilMs && nowMs >= pausedUntilMs;
  }

  /** Called when the upstream rejected a request as full; pauses new requests for one pass. */
  public void onSaturated(long nowMs) {
    fullUntilMs = nowMs + (long) Math.max(20, currentPassMs(nowMs));
  }

  /** Called when a request was sent. */
  public void onSent(int promptTokens, long nowMs) {
    if (ownInFlight == 0) {
      lastProgressMs = nowMs;
    }
    ownInFlight++;
    ownUnanswered++;
    peakInFlight = Math.max(peakInFlight, ownInFlight);
    ownPrefillMs += prefillMs(promptTokens);
  }

  /** Called when a request's first event or its response arrived. */
  public void onFirstEvent(int promptTokens) {
    ownUnanswered = Math.max(0, ownUnanswered - 1);
    ownPrefillMs = Math.max(0, ownPrefillMs - prefillMs(promptTokens));
  }

  /** Called when a request ended, successfully or not. */
  public void onEnded() {
    ownInFlight = Math.max(0, ownInFlight - 1);
  }

  /** Called when bytes of a response arrived. */
  public void onProgress(long nowMs) {
    lastProgressMs = nowMs;
    suspectedUntilMs = nowMs;
  }

  /** Called when two events of one stream arrived {@code gapMs} apart. */
  public void onEventGap(double gapMs, long nowMs) {
    passMs =
        nowMs - passMeasuredMs > PASS_VALID_MS ? gapMs : passMs + PASS_WEIGHT * (gapMs - passMs);
    passMeasuredMs = nowMs;
  }

  /** Called when a request succeeded, or failed through a fault of the upstream. */
  public void onOutcome(boolean isSuccess, long nowMs) {
    failureRate += OUTCOME_WEIGHT * ((isSuccess ? 0 : 1) - failureRate);
    if (isSuccess && failureRate < EJECT_FAILURE_RATE / 2) {
      ejectMs = EJECT_MS;
    }
    if (!isSuccess && failureRate > EJECT_FAILURE_RATE) {
      ejectedUntilMs = nowMs + ejectMs;
      ejectMs = Math.min(MAX_EJECT_MS, ejectMs * 2);
      failureRate = EJECT_FAILURE_RATE / 2;
    }
  }

  /** Whether the upstream is ejected because of failures. */
  public boolean isEjected(long nowMs) {
    return nowMs < ejectedUntilMs;
  }

  /** Returns the time since the last received byte; 0 if no request is in progress. */
  public long silentMs(long nowMs) {
    return ownInFlight == 0 ? 0 : nowMs - lastProgressMs;
  }

  /** Whether the group is suspected to be stalled. */
  public boolean isSuspected(long nowMs) {
    return nowMs < suspectedUntilMs;
  }

  /** Suspends new requests until {@code untilMs}; a time in the past ends the suspicion. */
  public void suspectUntil(long untilMs) {
    suspectedUntilMs = untilMs;
  }

  /**
   * Time of one pass over the requests in progress: the recently measured time, or else the planned
   * one.
   */
  public double currentPassMs(long nowMs) {
    if (engine == null) {
      return 0;
    }
    return nowMs - passMeasuredMs <= PASS_VALID_MS
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

  /** Sets where the fixed part of the time to the first event is learned, for all of a model. */
  public void shareOffset(FirstEventOffset shared) {
    offset = shared;
  }

  /** Called when a first event arrived {@code unexplainedMs} later than the figures say. */
  public void onFirstEventObserved(double unexplainedMs, long nowMs) {
    offset.observe(unexplainedMs, nowMs);
  }

  private double prefillMs(double promptTokens) {
    return engine == null ? 0 : engine.prefillMs(promptTokens) * pace();
  }

  /** Returns the expected time from sending a request until its first event. */
  public double firstEventMs(int promptTokens, long nowMs) {
    return engine == null ? 0 : declaredFirstEventMs(promptTokens, nowMs) + offset.offsetMs(nowMs);
  }

  /** Returns the time that a request sent now needs to be on time nearly certainly. */
  public double safeFirstEventMs(int promptTokens, long nowMs) {
    return engine == null ? 0 : firstEventMs(promptTokens, nowMs) + offset.spreadMs(nowMs);
  }

  /** Returns the part of {@link #firstEventMs} that the engine's figures explain. */
  public double declaredFirstEventMs(int promptTokens, long nowMs) {
    if (engine == null) {
      return 0;
    }
    double pass = currentPassMs(nowMs);
    double reading = ownPrefillMs + prefillMs(promptTokens);
    double waiting = inFlight() < slots ? 0 : (inFlight() - slots + 1) * runMs(nowMs) / slots;
    return waiting + pass / 2 + reading + plannedPassMs();
  }

  /** Returns the expected time that a typical request occupies a slot. */
  public double runMs(long nowMs) {
    if (engine == null) {
      return 0;
    }
    return prefillMs(engine.typicalPromptTokens())
        + engine.typicalOutputTokens() / engine.stride() * currentPassMs(nowMs);
  }

  /**
   * Returns the longest time without data that a healthy group shows while requests are in
   * progress.
   */
  public double silenceLimitMs(long nowMs) {
    if (engine == null) {
      return Double.MAX_VALUE;
    }
    double chunkMs =
        Math.min(engine.prefillChunkTokens(), 8_192) / engine.prefillTokensPerMs() * pace();
    return 2 * (currentPassMs(nowMs) + chunkMs) + SILENCE_SLACK_MS;
  }
}
