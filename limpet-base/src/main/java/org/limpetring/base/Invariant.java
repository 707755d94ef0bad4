package org.limpetring.base;

import org.jboss.logging.Logger;

/**
 * Property that the running program asserts; a violation is logged, counted and, in tests, thrown.
 */
public enum Invariant {
  GROUP_WHOLE("no group serves while a member is missing"),
  HOST_IN_ONE_GROUP("no host belongs to two groups"),
  COLD_BUDGET("a cold upstream gets no more work than it can sustain"),
  NO_WORK_WHEN_OUT("what is out of service gets no new work"),
  OWN_WHOLE_ANSWER("a caller gets the whole answer to its own request"),
  NOT_RUN_IS_TRUE("a request answered as not run did not run"),
  AT_MOST_ONCE("non-idempotent work runs at most once"),
  NO_CUT_ON_STOP("a planned stop cuts no request"),
  GENERATION_GROWS("an accepted configuration never reverts"),
  EPOCH_GROWS("a roster epoch or plan epoch never reverts"),
  ROLE_HELD_ONCE("an exclusive role has one holder at a time");

  /** System property that turns violations into {@link ViolationException}. */
  public static final String THROW_PROPERTY = "limpetring.invariants.throw";

  private static final Logger LOGGER = Logger.getLogger(Invariant.class);
  private static final boolean THROWS = Boolean.getBoolean(THROW_PROPERTY);

  private final String statement;

  Invariant(String statement) {
    this.statement = statement;
  }

  /** Human-readable statement of the property. */
  public String statement() {
    return statement;
  }

  /** Records a violation unless {@code holds}; {@code detail} describes the observed state. */
  public void check(boolean holds, String detail) {
    if (holds) {
      return;
    }
    Metrics.INVARIANT_VIOLATIONS.labelValues(name()).inc();
    LogEvent.INVARIANT_VIOLATED.log(LOGGER, name(), detail);
    if (THROWS) {
      throw new ViolationException(this, detail);
    }
  }

  /** Thrown in tests for a violated invariant. */
  public static final class ViolationException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    ViolationException(Invariant invariant, String detail) {
      super(invariant.name() + " (" + invariant.statement() + "): " + detail);
    }
  }
}
