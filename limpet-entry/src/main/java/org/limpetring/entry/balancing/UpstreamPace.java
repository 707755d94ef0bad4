package org.limpetring.entry.balancing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.limpetring.base.Rendezvous;

/**
 * Decides how many requests an upstream that has just started or recovered gets.
 *
 * <p>Load pattern: an upstream starts, returns from an ejection, or has a new group, while all
 * daemons, few or hundreds, have requests for it, and it looks idle to each of them. They flood it
 * at once; it fails or is late, is avoided by all, and is flooded again. A slow upstream is filled
 * with requests none of which is on time.
 *
 * <p>Such an upstream has a level: the number of requests that wait for their first event, from all
 * daemons together. It starts at a quarter of the slots, doubles with each round of responses that
 * are as fast as predicted, and is halved at the first late response, broken exchange or refusal.
 * At the number of slots it ends. Daemons pass on the level. Each lowering begins a new epoch,
 * which supersedes earlier ones; within an epoch the highest level counts. So no order of arrival
 * undoes a lowering, and daemons that see the same trouble lower the level once.
 *
 * <p>Rendezvous hashing assigns the level to daemons in equal parts. While it is less than one
 * request per daemon and nobody uses the upstream, the right to send moves on to the next daemons,
 * since the first ones may have no requests or be gone.
 */
public final class UpstreamPace {

  /** How a response compares with what was predicted. */
  public enum Quality {
    /** As fast as predicted. */
    GOOD,
    /** On time for its caller, but slower than before; or it says nothing. */
    SLOWER,
    /** Late for its caller and slower than predicted. */
    LATE
  }

  /** A change of a level, for the log. */
  public enum Change {
    NONE,
    BEGUN,
    LOWERED,
    RAISED,
    ENDED
  }

  /** Statements in one announcement; with more, each announcement carries the next ones. */
  static final int MAX_ANNOUNCED = 64;

  /** Age above which a statement is neither announced nor adopted. */
  static final long MAX_AGE_MS = 5_000;

  /** Part of the slots at which an upstream starts. */
  private static final int START_DIVISOR = 4;

  /** Multiple of the predicted time up to which a response is as fast as predicted. */
  private static final double GOOD_FACTOR = 2;

  /** Added to predicted times: network and timers. */
  private static final double SLACK_MS = 50;

  /** Multiple of the predicted time that is late where the caller's objective says nothing. */
  private static final double LATE_FACTOR = 4;

  /** Growth over the fastest response at a slow upstream above which the level is not raised. */
  private static final double SLOWER_FACTOR = 1.5;

  /** Consecutive late or broken responses after which a running upstream is paced. */
  static final int TROUBLES = 3;

  /** Time without a request at the upstream after which the next daemons may send. */
  static final long TURN_MS = 200;

  /** Time without a statement after which the right to send moves on though it is used. */
  private static final long QUIET_MS = 2_000;

  /**
   * Time after which an endpoint that others use without a word is none that has just started; this
   * daemon only learned of it late. Longer than the first event of a group that is twelve times too
   * slow.
   */
  static final long UNKNOWN_TO_PEERS_MS = 3_000;

  /** Time in which a response to this daemon outweighs the trouble that others report. */
  private static final long OWN_EVIDENCE_MS = 500;

  /** Weight of a new response in the mean time of a pool. */
  private static final double POOL_WEIGHT = 0.05;

  private static final class State {
    int slots;
    int level;
    int epoch;
    boolean isPaced;
    boolean isOwn;
    long statedMs = Long.MIN_VALUE / 2;
    long changedMs = Long.MIN_VALUE / 2;
    long begunMs = Long.MIN_VALUE / 2;
    long loweredMs = Long.MIN_VALUE / 2;
    long goodMs = Long.MIN_VALUE / 2;
    long usedMs = Long.MIN_VALUE / 2;
    double fastestMs = Double.POSITIVE_INFINITY;
    int troubles;
    int daemonCount = -1;
    int rank;
  }

  private final String ownName;
  private final Map<String, State> states = new LinkedHashMap<>();
  private final Map<String, Double> poolMs = new HashMap<>();
  private int pacedCount;

  /** Creates the state of the daemon {@code ownName}. */
  public UpstreamPace(String ownName) {
    this.ownName = ownName;
  }

  /** Hash that identifies an endpoint on the wire; see {@link PaceStatement}. */
  public static int hash(String endpointKey) {
    return endpointKey.hashCode();
  }

  /** Number of upstreams with a level. */
  public int size() {
    return pacedCount;
  }

  /** Returns the level of an endpoint; {@link PaceStatement#ENDED} if it is not paced. */
  public int level(String endpointKey) {
    State state = states.get(endpointKey);
    return state == null || !state.isPaced ? PaceStatement.ENDED : state.level;
  }

  private static int startLevel(int slots) {
    return (slots + START_DIVISOR - 1) / START_DIVISOR;
  }

  private State state(String endpointKey, int slots) {
    State state = states.computeIfAbsent(endpointKey, key -> new State());
    state.slots = slots;
    return state;
  }

  /** An endpoint appeared while others served: it has just started, or its group was re-formed. */
  public Change onStarted(String endpointKey, int slots, long nowMs) {
    State state = state(endpointKey, slots);
    if (state.isPaced || slots <= 1) {
      return Change.NONE;
    }
    begin(state, nowMs);
    return Change.BEGUN;
  }

  /** An endpoint was ejected or suspected; it starts again when that ends. */
  public Change onDisturbed(String endpointKey, int slots, long nowMs) {
    State state = state(endpointKey, slots);
    if (state.isPaced && nowMs - state.loweredMs < OWN_EVIDENCE_MS) {
      return Change.NONE;
    }
    return trouble(state, nowMs);
  }

  private void begin(State state, long nowMs) {
    state.isPaced = true;
    pacedCount++;
    state.level = startLevel(state.slots);
    state.begunMs = nowMs;
    state.changedMs = nowMs;
    state.usedMs = nowMs;
    state.fastestMs = Double.POSITIVE_INFINITY;
    state.troubles = 0;
  }

  private void end(State state) {
    state.isPaced = false;
    state.level = PaceStatement.ENDED;
    pacedCount--;
  }

  private Change trouble(State state, long nowMs) {
    boolean wasPaced = state.isPaced;
    if (!wasPaced) {
      begin(state, nowMs);
    } else {
      state.level = Math.max(1, state.level / 2);
    }
    state.epoch++;
    state.loweredMs = nowMs;
    stated(state, nowMs, true);
    return wasPaced ? Change.LOWERED : Change.BEGUN;
  }

  private static void stated(State state, long nowMs, boolean isOwn) {
    state.changedMs = nowMs;
    state.statedMs = nowMs;
    state.isOwn = isOwn;
  }

  /**
   * Called with the first event of a stream or a whole response.
   *
   * @param pool pool of the endpoint
   * @param tookMs time since the request was sent
   * @param predictedMs time that the engine's declared figures give; 0 for a plain upstream
   * @param onTimeMs time from the sending within which the response is on time for its caller; 0 or
   *     less if it was late before
   * @param isCold whether the cold rate bounds the upstream, so that slowness is no trouble
   */
  public Change onResponse(
      String endpointKey,
      String pool,
      int slots,
      long sentMs,
      long tookMs,
      double predictedMs,
      long onTimeMs,
      boolean isCold,
      long nowMs) {
    State state = state(endpointKey, slots);
    Double mean = poolMs.get(pool);
    double expectedMs = Math.max(predictedMs, mean == null ? 0 : mean);
    Quality quality = quality(state, tookMs, expectedMs, onTimeMs);
    if (!state.isPaced && !isCold) {
      poolMs.merge(pool, (double) tookMs, (old, each) -> old + POOL_WEIGHT * (each - old));
    }
    state.fastestMs = Math.min(state.fastestMs, tookMs);
    if (quality == Quality.LATE) {
      return isCold ? Change.NONE : onTrouble(endpointKey, slots, sentMs, nowMs);
    }
    state.troubles = 0;
    if (quality == Quality.SLOWER) {
      return Change.NONE;
    }
    state.goodMs = nowMs;
    if (!state.isPaced || sentMs < state.changedMs) {
      return Change.NONE;
    }
    boolean isAsPredicted = tookMs <= GOOD_FACTOR * expectedMs + SLACK_MS;
    boolean isFull = 2 * state.level >= state.slots && isAsPredicted;
    int before = state.level;
    if (isFull) {
      end(state);
    } else {
      // an upstream that is slower than predicted keeps a level, or all daemons would fill it
      state.level = Math.min(state.slots, 2 * state.level);
    }
    stated(state, nowMs, true);
    if (isFull) {
      return Change.ENDED;
    }
    return state.level > before ? Change.RAISED : Change.NONE;
  }

  private static Quality quality(State state, long tookMs, double expectedMs, long onTimeMs) {
    if (tookMs <= GOOD_FACTOR * expectedMs + SLACK_MS) {
      return Quality.GOOD;
    }
    if (onTimeMs <= 0) {
      return tookMs <= LATE_FACTOR * expectedMs + SLACK_MS ? Quality.SLOWER : Quality.LATE;
    }
    if (tookMs > onTimeMs) {
      return Quality.LATE;
    }
    // it serves at another speed than predicted; what counts is that more load adds no time
    return tookMs <= SLOWER_FACTOR * state.fastestMs ? Quality.GOOD : Quality.SLOWER;
  }

  /** Called when an exchange broke, or when a paced upstream refused a request unexecuted. */
  public Change onTrouble(String endpointKey, int slots, long sentMs, long nowMs) {
    State state = state(endpointKey, slots);
    state.troubles++;
    boolean isOld = sentMs < state.loweredMs;
    boolean isRunning = !state.isPaced && state.troubles < TROUBLES;
    return slots <= 1 || isOld || isRunning ? Change.NONE : trouble(state, nowMs);
  }

  /** Applies a statement that another daemon passed on; {@code endpointKey} has its hash. */
  public Change merge(String endpointKey, int slots, PaceStatement statement, long nowMs) {
    if (statement.ageMs() > MAX_AGE_MS || slots <= 1) {
      return Change.NONE;
    }
    State state = state(endpointKey, slots);
    if (!state.isPaced) {
      // the start of a daemon's own observation says nothing to those that have served before
      boolean isNews = statement.epoch() > state.epoch && statement.level() != PaceStatement.ENDED;
      if (!isNews || nowMs - state.goodMs < OWN_EVIDENCE_MS) {
        return Change.NONE;
      }
      begin(state, nowMs);
      adopt(state, statement, nowMs);
      return Change.BEGUN;
    }
    boolean isLowered = statement.epoch() > state.epoch;
    if (!isLowered && (statement.epoch() < state.epoch || statement.level() <= state.level)) {
      if (statement.epoch() == state.epoch) {
        state.statedMs = Math.max(state.statedMs, nowMs - statement.ageMs());
      }
      return Change.NONE;
    }
    int before = state.level;
    adopt(state, statement, nowMs);
    if (state.level == PaceStatement.ENDED) {
      end(state);
      return Change.ENDED;
    }
    state.level = Math.min(slots, state.level);
    return state.level < before ? Change.LOWERED : Change.RAISED;
  }

  private static void adopt(State state, PaceStatement statement, long nowMs) {
    if (statement.epoch() > state.epoch) {
      state.loweredMs = nowMs;
    }
    state.epoch = statement.epoch();
    state.level = statement.level();
    stated(state, nowMs - statement.ageMs(), false);
    state.changedMs = nowMs;
  }

  /**
   * Returns how many requests of this daemon may wait for a first event at an endpoint.
   *
   * @param ownInFlight requests of this daemon in progress there
   * @param peerInFlight requests of the others in progress there, as far as known
   * @param daemons names of all known daemons with this one; only this one's if it is cut off
   */
  public int ownLimit(
      String endpointKey,
      int ownInFlight,
      int peerInFlight,
      Collection<String> daemons,
      long nowMs) {
    State state = states.get(endpointKey);
    if (state == null || !state.isPaced) {
      return Integer.MAX_VALUE;
    }
    boolean isNews = state.epoch > 0 || state.statedMs >= state.begunMs;
    if (!isNews && peerInFlight > 0 && nowMs - state.begunMs > UNKNOWN_TO_PEERS_MS) {
      end(state);
      return Integer.MAX_VALUE;
    }
    if (state.daemonCount != daemons.size()) {
      state.daemonCount = daemons.size();
      state.rank = Rendezvous.rank(endpointKey, daemons, ownName);
    }
    boolean isReported = nowMs - Math.max(state.statedMs, state.begunMs) < QUIET_MS;
    if (ownInFlight + peerInFlight > 0 && isReported) {
      state.usedMs = nowMs;
    }
    int count = daemons.size();
    long turn = (nowMs - state.usedMs) / TURN_MS;
    int rank = (int) Math.floorMod(state.rank - turn * Math.min(state.level, count), (long) count);
    return state.level / count + (rank < state.level % count ? 1 : 0);
  }

  /**
   * Statements to announce: this daemon's own ones, or all of them if it relays.
   *
   * @param isRelay whether this daemon passes on what others told it
   */
  public List<PaceStatement> announced(boolean isRelay, long nowMs) {
    List<PaceStatement> announced = new ArrayList<>();
    for (Map.Entry<String, State> entry : List.copyOf(states.entrySet())) {
      State state = entry.getValue();
      long ageMs = Math.max(0, nowMs - state.statedMs);
      if ((!isRelay && !state.isOwn) || ageMs > MAX_AGE_MS) {
        continue;
      }
      if (announced.size() == MAX_ANNOUNCED) {
        break;
      }
      announced.add(
          new PaceStatement(
              hash(entry.getKey()),
              state.epoch,
              state.isPaced ? state.level : PaceStatement.ENDED,
              ageMs));
      // to the end of the order, so that the next announcement begins with the others
      states.remove(entry.getKey());
      states.put(entry.getKey(), state);
    }
    return announced;
  }

  /** Discards endpoints that no longer exist. */
  public void retain(Predicate<String> exists) {
    states.entrySet().removeIf(entry -> !exists.test(entry.getKey()));
    pacedCount = (int) states.values().stream().filter(state -> state.isPaced).count();
  }
}
