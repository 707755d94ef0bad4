package org.limpetring.load.schedule;

import java.util.List;
import java.util.Objects;
import org.jspecify.annotations.Nullable;
import org.limpetring.standin.host.Fault;

/**
 * Experiment as read from its file.
 *
 * @param deployment directory of settings under {@code experiments/deployments}; for the script
 * @param seed fixes arrivals, contents and random faults
 * @param daemons base URLs that callers use, such as {@code http://127.0.0.11:8080}
 * @param standin base URL of the control socket of the stand-ins
 * @param platform base URL of the platform
 * @param smallestGroup hosts of the smallest group that serves; fewer are a standby
 * @param waitGroups groups that must serve before the first phase
 * @param waitMs longest wait for them
 * @param settleMs longest wait for the last answers
 * @param callers teams
 * @param kinds kinds of request
 * @param phases offered load over time
 * @param steps faults and operators' acts at fixed times after the start of the first phase
 * @param randomFaults faults at times drawn from the seed, or null
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
    Tries tries,
    List<Team> callers,
    List<Kind> kinds,
    List<Phase> phases,
    List<Step> steps,
    @Nullable RandomFaults randomFaults) {

  /** Copies the lists and refuses an experiment without load. */
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

  /** Whether a step or the random faults hurt hosts, rather than taking them out on order. */
  public boolean hasFaults() {
    return randomFaults != null
        || steps.stream().anyMatch(step -> step.fault() != null || step.signal() != null);
  }

  /**
   * Bounds that the checker holds the system to.
   *
   * @param drainMs time after which a failure domain or host taken out gets no new work
   * @param coldBudget requests at once that one cold group bears
   */
  public record Limits(long drainMs, int coldBudget) {}

  /**
   * What callers do when a try fails.
   *
   * @param max tries for one request
   * @param whenTold whether they try again at once when told to go elsewhere
   * @param waitMs wait before another try when told to come later; 0 means that they give up
   * @param whenUnknown whether they try again when a try's fate is unknown
   */
  public record Tries(int max, boolean whenTold, long waitMs, boolean whenUnknown) {}

  /**
   * Team of callers.
   *
   * @param key bearer key
   * @param share part of the offered load, relative to other teams
   */
  public record Team(String name, String key, double share) {}

  /**
   * Kind of request.
   *
   * @param path path for {@link Form#STREAM} and {@link Form#WHOLE}; else a prefix
   * @param model model named in the request, or empty
   * @param tokens events wanted; each request takes between half and one and a half of it
   * @param promptWords words of the prompt
   * @param perSecond arrivals a second at factor 1, all teams together
   * @param deadlineMs deadline that the caller names; 0 means none
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

  /** Form of a request and its answer. */
  public enum Form {
    /** Streamed chat completion. */
    STREAM,
    /** Chat completion answered at once. */
    WHOLE,
    /** Idempotent call of a plain service. */
    READ,
    /** Call of a plain service that must run once at most. */
    ORDER
  }

  /**
   * Stretch of time at one offered load.
   *
   * @param factor on each kind's rate
   * @param measured whether it counts in the totals; false for a warm-up
   */
  public record Phase(String name, long forMs, double factor, boolean measured) {}

  /**
   * One act; exactly one of its optional fields is set.
   *
   * @param atMs time after the start of the first phase
   * @param fault fault for the stand-ins
   * @param out failure domain or host to take out of service
   * @param in failure domain or host to bring back
   * @param signal signal to send to {@code process}, left to the script that started it
   */
  public record Step(
      long atMs,
      @Nullable Fault fault,
      @Nullable String out,
      @Nullable String in,
      @Nullable String signal,
      @Nullable String process) {

    /** Words for the progress and the plot. */
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
   * Faults drawn from the seed.
   *
   * @param everyMs mean time between them
   * @param healAfterMs time after which each is healed
   * @param targets hosts or domains to choose from
   * @param kinds kinds to choose from
   */
  public record RandomFaults(
      long everyMs, long healAfterMs, List<String> targets, List<Fault.Kind> kinds) {}
}
