package org.limpetring.fleet.config;

import java.util.ArrayList;
import java.util.List;
import org.limpetring.base.Invariant;
import org.limpetring.store.StoredObject;
import org.limpetring.store.WriteResult;
import org.limpetring.tables.AcceptedConfig;
import org.limpetring.tables.Validation;
import org.limpetring.tables.ValidationError;

/**
 * Decides which configuration is in force here and when this daemon writes the next generation.
 *
 * <p>Optimistic concurrency control (Kung and Robinson, 1981): {@code accepted} is read before its
 * sources and written only if unchanged, so sources in a later generation are never older than
 * those in an earlier one. A write whose answer was lost is settled by reading again. Generations
 * only grow, here and in the platform.
 */
public final class ConfigMachine {

  /** Time by which each further acceptor waits longer than the one before it. */
  public static final long ACCEPTOR_STEP_MS = 1_000;

  /** Interval at which the first acceptor compares sources and result without being told. */
  public static final long RECHECK_INTERVAL_MS = 30_000;

  /** First wait after a conflict or a failed call. */
  public static final long MIN_BACKOFF_MS = 50;

  /** Longest wait after repeated failures. */
  public static final long MAX_BACKOFF_MS = 2_000;

  /** Rank of a daemon that never joins tables. */
  public static final int NO_ACCEPTOR = -1;

  private static final long NEVER_MS = Long.MAX_VALUE;

  private final ConfigFormat format;
  private final SourceJoiner joiner;
  private AcceptedConfig inForce = AcceptedConfig.NONE;
  private List<ValidationError> mistakes = List.of();
  private int rank = NO_ACCEPTOR;
  private boolean isBusy;
  private long changedRevision;
  private long joinDueMs = NEVER_MS;
  private long backoffMs = MIN_BACKOFF_MS;

  /** Machine with nothing in force. */
  public ConfigMachine(ConfigFormat format) {
    this.format = format;
    this.joiner = new SourceJoiner(format);
  }

  /** The newest accepted configuration known here. */
  public AcceptedConfig inForce() {
    return inForce;
  }

  /** Mistakes found at the last join; empty if both tables were taken. */
  public List<ValidationError> mistakes() {
    return mistakes;
  }

  /** Sets this daemon's place among the acceptors, 0 first, or {@link #NO_ACCEPTOR}. */
  public void setRank(int newRank, long nowMs) {
    if (newRank == rank) {
      return;
    }
    rank = newRank;
    joinDueMs = rank == NO_ACCEPTOR ? NEVER_MS : nowMs + rank * ACCEPTOR_STEP_MS;
  }

  /** Notes that a table or a mark has changed at store revision {@code revision}. */
  public void onSourcesChanged(long revision, long nowMs) {
    if (rank != NO_ACCEPTOR && revision > inForce.sourceRevision()) {
      changedRevision = Math.max(changedRevision, revision);
      joinDueMs = Math.min(joinDueMs, nowMs + rank * ACCEPTOR_STEP_MS);
    }
  }

  /** Whether a join would start if this daemon is in contact. */
  public boolean isDue(long nowMs) {
    return !isBusy && nowMs >= joinDueMs;
  }

  /**
   * Starts a due join.
   *
   * @param inContact whether most of the roster would hear of a new generation at once
   */
  public List<ConfigEffect> onTick(boolean inContact, long nowMs) {
    if (!inContact || !isDue(nowMs)) {
      return List.of();
    }
    isBusy = true;
    joinDueMs = NEVER_MS;
    return List.of(new ConfigEffect.ReadForJoin());
  }

  /** Takes what was read for a join and writes the next generation if the sources differ. */
  public List<ConfigEffect> onRead(JoinRead read, boolean inContact, long nowMs) {
    if (!(read instanceof JoinRead.Complete complete)) {
      return retryLater(nowMs);
    }
    List<ConfigEffect> effects = new ArrayList<>();
    StoredObject stored = complete.accepted();
    if (stored != null && !takeStored(stored.value(), effects)) {
      return retryLater(nowMs);
    }
    SourceJoiner.Joined joined = joiner.join(complete.sources(), complete.revision(), inForce);
    if (!joined.mistakes().equals(mistakes)) {
      mistakes = joined.mistakes();
      effects.add(new ConfigEffect.ReportInvalid(mistakes));
    }
    if (!inContact) {
      retryLater(nowMs);
      return effects;
    }
    if (hasSameContent(joined.config())) {
      finish(nowMs);
      return effects;
    }
    AcceptedConfig next = nextGeneration(joined.config());
    long expectedVersion = stored == null ? 0 : stored.version();
    effects.add(new ConfigEffect.WriteAccepted(next, format.write(next), expectedVersion));
    return effects;
  }

  /** Takes the result of a {@link ConfigEffect.WriteAccepted}. */
  public List<ConfigEffect> onWritten(
      ConfigEffect.WriteAccepted write, WriteResult result, long nowMs) {
    if (!(result instanceof WriteResult.Written)) {
      return retryLater(nowMs);
    }
    List<ConfigEffect> effects = new ArrayList<>();
    take(write.config(), write.text(), effects);
    finish(nowMs);
    return effects;
  }

  /** Takes an accepted configuration from a peer or from the platform. */
  public List<ConfigEffect> onAccepted(String text) {
    List<ConfigEffect> effects = new ArrayList<>();
    takeStored(text, effects);
    return effects;
  }

  private boolean takeStored(String text, List<ConfigEffect> effects) {
    Validation<AcceptedConfig> checked = format.read(text);
    if (checked instanceof Validation.Invalid<AcceptedConfig> invalid) {
      effects.add(new ConfigEffect.ReportInvalid(invalid.errors()));
      return false;
    }
    take(((Validation.Valid<AcceptedConfig>) checked).value(), text, effects);
    return true;
  }

  private void take(AcceptedConfig config, String text, List<ConfigEffect> effects) {
    if (config.generation() <= inForce.generation()) {
      return;
    }
    Invariant.GENERATION_GROWS.check(
        config.sourceRevision() >= inForce.sourceRevision(),
        "generation " + config.generation() + " joins older sources");
    inForce = config;
    if (rank > 0 && config.sourceRevision() >= changedRevision) {
      joinDueMs = NEVER_MS;
    }
    effects.add(new ConfigEffect.PutInForce(config, text));
  }

  private boolean hasSameContent(AcceptedConfig config) {
    return inForce.generation() > 0
        && config.routes().equals(inForce.routes())
        && config.pools().equals(inForce.pools())
        && config.marks().equals(inForce.marks());
  }

  private AcceptedConfig nextGeneration(AcceptedConfig joined) {
    return new AcceptedConfig(
        inForce.generation() + 1,
        joined.sourceRevision(),
        joined.routes(),
        joined.pools(),
        joined.marks());
  }

  private void finish(long nowMs) {
    isBusy = false;
    backoffMs = MIN_BACKOFF_MS;
    if (rank == 0) {
      joinDueMs = Math.min(joinDueMs, nowMs + RECHECK_INTERVAL_MS);
    }
  }

  private List<ConfigEffect> retryLater(long nowMs) {
    isBusy = false;
    if (rank != NO_ACCEPTOR) {
      joinDueMs = Math.min(joinDueMs, nowMs + backoffMs);
    }
    backoffMs = Math.min(MAX_BACKOFF_MS, backoffMs * 2);
    return List.of();
  }
}
