package org.limpetring.routing.choose;

import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.limpetring.base.DaemonId;
import org.limpetring.base.FailureDomain;
import org.limpetring.base.PoolName;
import org.limpetring.groups.ServingGroup;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/**
 * Measures the time to choose among 212 groups; run with {@code org.openjdk.jmh.Main
 * ChoiceBenchmark}.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Fork(0)
@Warmup(iterations = 2, time = 1)
@Measurement(iterations = 3, time = 1)
public class ChoiceBenchmark {

  private static final PoolName POOL = new PoolName("p");
  private static final int GROUPS = 212;

  private final SplittableRandom random = new SplittableRandom(1);
  private final InFlightCounts inFlight = new InFlightCounts();
  private final GroupChooser chooser = new GroupChooser(inFlight);
  private final GroupIndex index =
      GroupIndex.of(
          GroupChooserTest.groups(GROUPS),
          new FailureDomain("z0"),
          ServingGroup::cold,
          new DaemonId("d"),
          9);

  /** Puts one request in progress at each group. */
  public ChoiceBenchmark() {
    for (ServingGroup group : GroupChooserTest.groups(GROUPS)) {
      inFlight.begin(group.id());
    }
  }

  /** Chooses by load. */
  @Benchmark
  public Optional<ServingGroup> byLoad() {
    return chooser.choose(index, POOL, Set.of(), 0, group -> 8, random);
  }

  /** Chooses by affinity. */
  @Benchmark
  public Optional<ServingGroup> byAffinity() {
    return chooser.choose(index, POOL, Set.of(), random.nextLong(), group -> 8, random);
  }
}
