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
 * Decides which configuration is in force on this daemon and when it writes the next generation.
 *
 * <p>Optimistic concurrency control (Kung and Robinson, 1981): {@code accepted} is read before its
 * sources and written only if unchanged, so the sources of a later generation are never older than
 * those of an earlier one. After a lost write response, reading again shows whether the write
 * succeeded. Generations only increase, on this daemon and in the platform.
 */
public final class ConfigMachine {

  /** Additional delay of each acceptor over the one ranked before it. */
  public static final long ACCEPTOR_DELAY_STEP_MS = 1_000;

  /**
   * Interval at which the first acceptor compares sources and accepted configuration even without a
   * change notification.
   */
  public static final long RECHECK_INTERVAL_MS = 30_000;

  /** Initial backoff after a conflict or a failed call. */
  public static final long MIN_BACKOFF_MS = 50;

  /** Maximum backoff after repeated failures. */
  public static final long MAX_BACKOFF_MS = 2_000;

  /** Rank of a daemon that is not an acceptor and never joins tables. */
  public static final int NOT_AN_ACCEPTOR = -1;

  private static final long NEVER_MS = Long.MAX_VALUE;

  private final ConfigFormat format;
  private final SourceJoiner joiner;
  private AcceptedConfig inForce = AcceptedConfig.NONE;
  private List<ValidationError> errors = List.of();
  private int rank = NOT_AN_ACCEPTOR;
  private boolean isJoinRunning;
  private long latestSourceRevision;
  private long joinDueMs = NEVER_MS;
  private long backoffMs = MIN_BACKOFF_MS;

  /** Creates a machine without a configuration in force. */
  public ConfigMachine(ConfigFormat format) {
    this.format = format;
    this.joiner = new SourceJoiner(format);
  }

  /** The newest accepted configuration known to this daemon. */
  public AcceptedConfig inForce() {
    return inForce;
  }

  /** Errors found by the last join; empty if both tables were valid. */
  public List<ValidationError> errors() {
    return errors;
  }

  /** Sets this daemon's rank among the acceptors, starting at 0, or {@link #NOT_AN_ACCEPTOR}. */
  public void setRank(int newRank, long nowMs) {
    if (newRank == rank) {
      return;
    }
    rank = newRank;
    joinDueMs = rank == NOT_AN_ACCEPTOR ? NEVER_MS : nowMs + rank * ACCEPTOR_DELAY_STEP_MS;
  }

  /** Handles a change of a table or service mark at store revision {@code revision}. */
  public void onSourcesChanged(long revision, long nowMs) {
    if (rank != NOT_AN_ACCEPTOR && revision > inForce.sourceRevision()) {
      latestSourceRevision = Math.max(latestSourceRevision, revision);
      joinDueMs = Math.min(joinDueMs, nowMs + rank * ACCEPTOR_DELAY_STEP_MS);
    }
  }

  /** Whether a join would start if this daemon is in contact with a majority of the roster. */
  public boolean isDue(long nowMs) {
    return !isJoinRunning && nowMs >= joinDueMs;
  }

  /**
   * Starts the join if it is due.
   *
   * @param hasMajorityContact whether a majority of the roster is reachable and would receive a new
   *     generation at once
   */
  public List<ConfigEffect> onTick(boolean hasMajorityContact, long nowMs) {
    if (!hasMajorityContact || !isDue(nowMs)) {
      return List.of();
    }
    isJoinRunning = true;
    joinDueMs = NEVER_MS;
    return List.of(new ConfigEffect.ReadForJoin());
  }

  /** Processes the objects read for a join and writes the next generation if the sources differ. */
  public List<ConfigEffect> onRead(JoinRead read, boolean hasMajorityContact, long nowMs) {
    if (!(read instanceof JoinRead.Complete complete)) {
      return retryLater(nowMs);
    }
    List<ConfigEffect> effects = new ArrayList<>();
    StoredObject stored = complete.accepted();
    if (stored != null && !applyStored(stored.value(), effects)) {
      return retryLater(nowMs);
    }
    SourceJoiner.Joined joined = joiner.join(complete.sources(), complete.revision(), inForce);
    if (!joined.errors().equals(errors)) {
      errors = joined.errors();
      effects.add(new ConfigEffect.ReportInvalid(errors));
    }
    if (!hasMajorityContact) {
      retryLater(nowMs);
      return effects;
    }
    if (hasSameContent(joined.config())) {
      onJoinFinished(nowMs);
      return effects;
    }
    AcceptedConfig next = nextGeneration(joined.config());
    long expectedVersion = stored == null ? 0 : stored.version();
    effects.add(new ConfigEffect.WriteAccepted(next, format.write(next), expectedVersion));
    return effects;
  }

  /** Processes the result of a {@link ConfigEffect.WriteAccepted}. */
  public List<ConfigEffect> onWritten(
      ConfigEffect.WriteAccepted write, WriteResult result, long nowMs) {
    if (!(result instanceof WriteResult.Written)) {
      return retryLater(nowMs);
    }
    List<ConfigEffect> effects = new ArrayList<>();
    apply(write.config(), write.text(), effects);
    onJoinFinished(nowMs);
    return effects;
  }

  /** Processes an accepted configuration received from a peer or from the platform. */
  public List<ConfigEffect> onAccepted(String text) {
    List<ConfigEffect> effects = new ArrayList<>();
    applyStored(text, effects);
    return effects;
  }

  private boolean applyStored(String text, List<ConfigEffect> effects) {
    Validation<AcceptedConfig> checked = format.read(text);
    if (checked instanceof Validation.Invalid<AcceptedConfig> invalid) {
      effects.add(new ConfigEffect.ReportInvalid(invalid.errors()));
      return false;
    }
    apply(((Validation.Valid<AcceptedConfig>) checked).value(), text, effects);
    return true;
  }

  private void apply(AcceptedConfig config, String text, List<ConfigEffect> effects) {
    if (config.generation() <= inForce.generation()) {
      return;
    }
    Invariant.GENERATION_GROWS.check(
        config.sourceRevision() >= inForce.sourceRevision(),
        "generation " + config.generation() + " has older sources than its predecessor");
    inForce = config;
    if (rank > 0 && config.sourceRevision() >= latestSourceRevision) {
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

  private void onJoinFinished(long nowMs) {
    isJoinRunning = false;
    backoffMs = MIN_BACKOFF_MS;
    if (rank == 0) {
      joinDueMs = Math.min(joinDueMs, nowMs + RECHECK_INTERVAL_MS);
    }
  }

  private List<ConfigEffect> retryLater(long nowMs) {
    isJoinRunning = false;
    if (rank != NOT_AN_ACCEPTOR) {
      joinDueMs = Math.min(joinDueMs, nowMs + backoffMs);
    }
    backoffMs = Math.min(MAX_BACKOFF_MS, backoffMs * 2);
    return List.of();
  }
}
