package org.limpetring.load.schedule;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import org.limpetring.standin.host.Fault;

/**
 * Generates arrivals and faults from the seed of an experiment. Equal experiments give equal
 * schedules.
 *
 * <p>Arrivals of each kind form a Poisson process whose rate changes with the phases.
 */
public final class ScheduleBuilder {

  private static final double MS_PER_SECOND = 1_000;

  private final Experiment experiment;

  /** Builds schedules for {@code experiment}. */
  public ScheduleBuilder(Experiment experiment) {
    this.experiment = experiment;
  }

  /** All requests in order of time. */
  public List<Arrival> arrivals() {
    Random random = new Random(experiment.seed());
    List<Arrival> arrivals = new ArrayList<>();
    long startMs = 0;
    for (Experiment.Phase phase : experiment.phases()) {
      for (Experiment.Kind kind : experiment.kinds()) {
        addArrivals(arrivals, random, phase, kind, startMs);
      }
      startMs += phase.forMs();
    }
    arrivals.sort(Comparator.comparingLong(Arrival::atMs).thenComparingInt(Arrival::number));
    return arrivals;
  }

  /** All steps in order of time, including random faults. */
  public List<Experiment.Step> steps() {
    List<Experiment.Step> steps = new ArrayList<>(experiment.steps());
    Experiment.RandomFaults faults = experiment.randomFaults();
    if (faults != null) {
      addRandomFaults(steps, faults);
    }
    steps.sort(Comparator.comparingLong(Experiment.Step::atMs));
    return steps;
  }

  private void addArrivals(
      List<Arrival> arrivals,
      Random random,
      Experiment.Phase phase,
      Experiment.Kind kind,
      long startMs) {
    double ratePerMs = kind.perSecond() * phase.factor() / MS_PER_SECOND;
    if (ratePerMs <= 0) {
      return;
    }
    double atMs = startMs + nextExponential(random, 1 / ratePerMs);
    while (atMs < startMs + phase.forMs()) {
      int number = arrivals.size();
      String reference = "r" + experiment.seed() + "-" + number;
      Experiment.Team team = pickTeam(random);
      long contentSeed = random.nextLong();
      arrivals.add(new Arrival(number, (long) atMs, team, kind, phase, reference, contentSeed));
      atMs += nextExponential(random, 1 / ratePerMs);
    }
  }

  private Experiment.Team pickTeam(Random random) {
    double totalShare = experiment.callers().stream().mapToDouble(Experiment.Team::share).sum();
    double remaining = random.nextDouble() * totalShare;
    for (Experiment.Team team : experiment.callers()) {
      remaining -= team.share();
      if (remaining < 0) {
        return team;
      }
    }
    return experiment.callers().get(experiment.callers().size() - 1);
  }

  private void addRandomFaults(List<Experiment.Step> steps, Experiment.RandomFaults faults) {
    Random random = new Random(experiment.seed() + 1);
    double atMs = nextExponential(random, faults.everyMs());
    while (atMs < experiment.durationMs()) {
      String target = faults.targets().get(random.nextInt(faults.targets().size()));
      Fault.Kind kind = faults.kinds().get(random.nextInt(faults.kinds().size()));
      steps.add(faultStep((long) atMs, new Fault(target, kind, 3, 0, 1)));
      steps.add(
          faultStep(
              (long) atMs + faults.healAfterMs(), new Fault(target, Fault.Kind.HEAL, 1, 0, 0)));
      atMs += nextExponential(random, faults.everyMs());
    }
  }

  private static Experiment.Step faultStep(long atMs, Fault fault) {
    return new Experiment.Step(atMs, fault, null, null, null, null);
  }

  private static double nextExponential(Random random, double mean) {
    return -mean * Math.log(1 - random.nextDouble());
  }
}
