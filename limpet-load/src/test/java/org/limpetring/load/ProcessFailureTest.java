package org.limpetring.load;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.limpetring.load.report.Report;
import org.limpetring.load.report.TextReport;
import org.limpetring.load.schedule.Experiment;
import org.limpetring.load.schedule.Experiment.Form;
import org.limpetring.load.schedule.Experiment.Kind;
import org.limpetring.load.schedule.Experiment.Phase;
import org.limpetring.load.schedule.Experiment.Step;
import org.limpetring.standin.host.Fault;

/**
 * Failures of real processes under load. All guarantees hold throughout, and all requests succeed
 * after recovery.
 */
final class ProcessFailureTest {

  private static final int GROUPS = 4;
  private static final int GROUP_SIZE = 2;
  private static final Kind PLAN =
      new Kind("plan", Form.STREAM, "/v1/chat/completions", "m", 16, 4, 20, 8_000);
  private static final Kind STOCK = new Kind("stock", Form.READ, "/stock/", "", 0, 0, 5, 3_000);
  private static final Kind ORDER = new Kind("order", Form.ORDER, "/orders", "", 0, 1, 10, 4_000);

  @TempDir private static Path directory = Path.of("");
  private static ProcessCluster cluster;

  @BeforeAll
  static void start() throws Exception {
    cluster = new ProcessCluster(directory);
    cluster.start();
  }

  @AfterAll
  static void stop() throws Exception {
    cluster.close();
  }

  @AfterEach
  void restart() throws Exception {
    cluster.restartStoppedDaemons();
  }

  @Test
  void everyKindOfRequestIsServed() throws Exception {
    Report report = run("served", 1, List.of(phase("all", 2_000)), List.of());
    assertAllGood(report, "all");
  }

  @Test
  void allRequestsSucceedAfterADaemonIsKilled() throws Exception {
    Step kill = signal(1_000, "KILL", 1);
    Report report =
        run("kill", 2, List.of(phase("kill", 3_000), phase("after", 1_500)), List.of(kill));
    assertAllGood(report, "after");
  }

  @Test
  void allRequestsSucceedAfterADaemonIsPaused() throws Exception {
    List<Step> steps = List.of(signal(500, "STOP", 2), signal(4_500, "CONT", 2));
    Report report = run("pause", 3, List.of(phase("pause", 6_000), phase("after", 2_000)), steps);
    assertAllGood(report, "after");
  }

  @Test
  void modelRequestsSucceedDuringAPlatformOutage() throws Exception {
    List<Step> steps =
        List.of(
            fault(1_000, "platform", Fault.Kind.DOWN), fault(6_000, "platform", Fault.Kind.HEAL));
    List<Phase> phases = List.of(phase("outage", 6_000), phase("after", 2_000));
    Report report = run("outage", 4, List.of(PLAN, STOCK), phases, steps);
    assertAllGood(report, "outage");
    assertAllGood(report, "after");
  }

  @Test
  void noRequestIsLostWhenADomainIsDrainedAndReturns() throws Exception {
    List<Step> steps =
        List.of(
            new Step(500, null, "east", null, null, null),
            new Step(6_500, null, null, "east", null, null));
    Report report = run("domain", 5, List.of(phase("out", 7_000), phase("after", 3_000)), steps);
    assertAllGood(report, "out");
    assertAllGood(report, "after");
  }

  private static void assertAllGood(Report report, String phaseName) {
    for (Report.PhaseReport phase : report.phases()) {
      if (phase.name().equals(phaseName)) {
        assertWithMessage(TextReport.write(report)).that(phase.good()).isEqualTo(phase.offered());
        assertThat(phase.offered()).isGreaterThan(10);
      }
    }
  }

  private static Report run(String name, long seed, List<Phase> phases, List<Step> steps)
      throws Exception {
    return run(name, seed, List.of(PLAN, STOCK, ORDER), phases, steps);
  }

  /**
   * Runs one experiment. Each test needs a seed of its own: request references and idempotency keys
   * derive from it, and all tests share the log of runs.
   */
  private static Report run(
      String name, long seed, List<Kind> kinds, List<Phase> phases, List<Step> steps)
      throws Exception {
    Experiment experiment =
        new Experiment(
            name,
            "",
            seed,
            cluster.daemonUrls(),
            cluster.controlUrl(),
            cluster.platformUrl(),
            GROUP_SIZE,
            GROUPS,
            20_000,
            10_000,
            new Experiment.Limits(5_000, 2),
            new Experiment.RetryPolicy(3, true, 0, true),
            List.of(new Experiment.Team("toolroom", ProcessCluster.KEY, 1)),
            kinds,
            phases,
            steps,
            null);
    Report report = LimpetLoad.runExperiment(experiment, cluster);
    assertWithMessage(TextReport.write(report)).that(report.pass()).isTrue();
    return report;
  }

  private static Phase phase(String name, long forMs) {
    return new Phase(name, forMs, 1, true);
  }

  private static Step signal(long atMs, String signal, int daemon) {
    return new Step(atMs, null, null, null, signal, ProcessCluster.daemonName(daemon));
  }

  private static Step fault(long atMs, String target, Fault.Kind kind) {
    return new Step(atMs, new Fault(target, kind, 1, 0, 1), null, null, null, null);
  }
}
