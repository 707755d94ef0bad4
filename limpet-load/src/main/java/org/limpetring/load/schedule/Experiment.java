package org.limpetring.load.schedule;

import java.util.List;
import java.util.Objects;
import org.jspecify.annotations.Nullable;
import org.limpetring.standin.host.Fault;

/**
 * Experiment as read from its JSON file; the component names are the names in the file.
 *
 * @param deployment directory of settings under {@code experiments/deployments}; used by the script
 *     that starts the processes
 * @param seed seed of arrivals, contents and random faults
 * @param daemons base URLs of the daemons that callers use, such as {@code http://127.0.0.11:8080}
 * @param standin base URL of the control API of the stand-ins
 * @param platform base URL of the platform
 * @param smallestGroup hosts of the smallest group that serves; a smaller group is a standby
 * @param waitGroups number of groups that must be serving before the first phase starts
 * @param waitMs limit on the wait for these groups
 * @param settleMs limit on the wait for outstanding responses after the last phase
 * @param limits bounds that the guarantees are checked against
 * @param tries retry policy of the callers
 * @param callers teams that send requests
 * @param kinds kinds of requests
 * @param phases offered load over time
 * @param steps faults and operator actions at fixed times after the start of the first phase
 * @param randomFaults faults at random times that follow from the seed, or null
 */
public record Experiment(
    String name,
    String deployment,
    long seed,
    List<String> daemons,
    String standin,
    String platform,
    int smallestGroup,
    int waitGroups,
    long waitMs,
    long settleMs,
    Limits limits,
    RetryPolicy tries,
    List<Team> callers,
    List<Kind> kinds,
    List<Phase> phases,
    List<Step> steps,
    @Nullable RandomFaults randomFaults) {

  /** Copies the lists and rejects an experiment without load. */
  public Experiment {
    Objects.requireNonNull(name, "name");
    Objects.requireNonNull(limits, "limits");
    Objects.requireNonNull(tries, "tries");
    daemons = List.copyOf(daemons);
    callers = List.copyOf(callers);
    kinds = List.copyOf(kinds);
    phases = List.copyOf(phases);
    steps = steps == null ? List.of() : List.copyOf(steps);
    if (daemons.isEmpty() || callers.isEmpty() || kinds.isEmpty() || phases.isEmpty()) {
      throw new IllegalArgumentException("daemons, callers, kinds and phases must not be empty");
    }
  }

  /** Time from the start of the first phase to the end of the last. */
  public long durationMs() {
    return phases.stream().mapToLong(Phase::forMs).sum();
  }

  /** Whether there are faults or signals, beyond planned removals from service. */
  public boolean hasFaults() {
    return randomFaults != null
        || steps.stream().anyMatch(step -> step.fault() != null || step.signal() != null);
  }

  /**
   * Bounds that the guarantees are checked against.
   *
   * @param drainMs time after which a failure domain or host out of service receives no new
   *     requests
   * @param coldBudget concurrent requests that one cold group tolerates
   */
  public record Limits(long drainMs, int coldBudget) {}

  /**
   * Retry policy of callers.
   *
   * @param max maximum number of attempts for one request
   * @param whenTold whether callers retry at once when a response advises another daemon
   * @param waitMs minimum delay before a retry when a response advises to retry later; 0 disables
   *     such retries
   * @param whenUnknown whether callers retry an idempotent request when the outcome of an attempt
   *     is unknown
   */
  public record RetryPolicy(int max, boolean whenTold, long waitMs, boolean whenUnknown) {}

  /**
   * Team of callers.
   *
   * @param key bearer token
   * @param share weight of the team in the offered load, relative to other teams
   */
  public record Team(String name, String key, double share) {}

  /**
   * Kind of requests.
   *
   * @param path path; for {@link Form#READ}, the prefix that precedes the reference
   * @param model model named in the request, or empty
   * @param tokens mean number of tokens requested; each request draws between 0.5 and 1.5 times
   *     this number
   * @param promptWords number of words in the prompt
   * @param perSecond arrivals per second of all teams together, at factor 1
   * @param deadlineMs deadline that the caller requests; 0 means none
   */
  public record Kind(
      String name,
      Form form,
      String path,
      String model,
      int tokens,
      int promptWords,
      double perSecond,
      long deadlineMs) {}

  /** Form of a request and its response. */
  public enum Form {
    /** Streamed chat completion. */
    STREAM,
    /** Chat completion without streaming. */
    WHOLE,
    /** Idempotent read from a plain service. */
    READ,
    /** Non-idempotent call of a plain service, which must run at most once. */
    ORDER
  }

  /**
   * Period of constant offered load.
   *
   * @param forMs length of the phase
   * @param factor multiplier of the rate of each kind
   * @param measured whether the phase counts in the totals; false for a warm-up
   */
  public record Phase(String name, long forMs, double factor, boolean measured) {}

  /**
   * One action. Exactly one of {@code fault}, {@code out}, {@code in} and {@code signal} is set.
   *
   * @param atMs time after the start of the first phase
   * @param fault fault to inject into the stand-ins
   * @param out failure domain or host to take out of service
   * @param in failure domain or host to return to service
   * @param signal signal to send to {@code process}
   */
  public record Step(
      long atMs,
      @Nullable Fault fault,
      @Nullable String out,
      @Nullable String in,
      @Nullable String signal,
      @Nullable String process) {

    /** Short text for the progress output and the report. */
    public String label() {
      if (fault != null) {
        return fault.fault() + " " + fault.target();
      }
      if (signal != null) {
        return signal + " " + process;
      }
      return out != null ? "out " + out : "in " + in;
    }
  }

  /**
   * Random faults, generated from the seed.
   *
   * @param everyMs mean time between faults
   * @param healAfterMs time after which each fault is healed
   * @param targets hosts or failure domains to choose from
   * @param kinds kinds of faults to choose from
   */
  public record RandomFaults(
      long everyMs, long healAfterMs, List<String> targets, List<Fault.Kind> kinds) {}
}
