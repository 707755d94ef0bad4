package org.limpetring.load;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.limpetring.load.report.Report;
import org.limpetring.load.schedule.Experiment;
import org.limpetring.load.schedule.ScheduleBuilder;
import org.limpetring.standin.Standin;
import org.limpetring.standin.StandinSettings;
import org.limpetring.standin.StandinSettings.Engine;
import org.limpetring.standin.StandinSettings.Host;
import org.limpetring.standin.StandinSettings.Platform;
import org.limpetring.standin.StandinSettings.Socket;
import org.limpetring.standin.host.Fault;

/**
 * Runs experiments directly against a stand-in engine. Without a daemon, its faults reach the
 * caller.
 */
final class LoadAgainstStandinTest {

  private static final SignalSender NO_SIGNALS =
      (signal, process) -> {
        throw new IOException("this test has no processes");
      };

  private int port;
  private Standin standin;

  @BeforeEach
  void start() throws Exception {
    try (ServerSocket socket = new ServerSocket(0)) {
      port = socket.getLocalPort();
    }
    standin = Standin.start(settings());
    HttpRequest join =
        HttpRequest.newBuilder(URI.create(url("127.0.6.2") + "/control/order"))
            .POST(
                HttpRequest.BodyPublishers.ofString(
                    "{\"kind\":\"JOIN\",\"group\":\"g\",\"epoch\":1,\"members\":[\"a\"]}"))
            .build();
    int status =
        HttpClient.newHttpClient().send(join, HttpResponse.BodyHandlers.discarding()).statusCode();
    assertThat(status).isEqualTo(200);
  }

  @AfterEach
  void stop() {
    standin.close();
  }

  @Test
  void healthyEngineSatisfiesAllGuarantees() throws Exception {
    Report report = LimpetLoad.runExperiment(experiment(List.of()), NO_SIGNALS);
    assertThat(report.pass()).isTrue();
    Report.PhaseReport phase = report.phases().get(0);
    assertThat(phase.good()).isEqualTo(phase.offered());
    assertThat(phase.offered()).isGreaterThan(20);
    assertThat(report.samples().get(0).groups()).isEqualTo(1);
  }

  @Test
  void crossedResponseFailsTheExperiment() throws Exception {
    Fault fault = new Fault("a", Fault.Kind.CROSSED_ANSWER, 1, 0, 1);
    Experiment.Step step = new Experiment.Step(300, fault, null, null, null, null);
    Report report = LimpetLoad.runExperiment(experiment(List.of(step)), NO_SIGNALS);
    assertThat(report.pass()).isFalse();
    assertThat(report.promises().get(0).violations()).isEqualTo(1);
  }

  @Test
  void equalSeedsGiveEqualSchedules() {
    Experiment experiment = experiment(List.of());
    assertThat(new ScheduleBuilder(experiment).arrivals())
        .isEqualTo(new ScheduleBuilder(experiment).arrivals());
  }

  private String url(String address) {
    return "http://" + address + ":" + port;
  }

  private StandinSettings settings() {
    Host host = new Host("a", "127.0.6.2", "north", "north-1", 4);
    return new StandinSettings(
        new Socket("127.0.6.9", port),
        new Platform("127.0.6.1", port, 0, List.of(host), 0, List.of()),
        List.of(new Engine("a", "127.0.6.2", port, true, 1, 1, 50, 2, 1, 1)),
        List.of());
  }

  private Experiment experiment(List<Experiment.Step> steps) {
    return new Experiment(
        "direct",
        "",
        7,
        List.of(url("127.0.6.2")),
        url("127.0.6.9"),
        url("127.0.6.1"),
        1,
        1,
        5_000,
        5_000,
        new Experiment.Limits(5_000, 2),
        new Experiment.RetryPolicy(1, false, 0, false),
        List.of(new Experiment.Team("toolroom", "k", 1)),
        List.of(
            new Experiment.Kind(
                "fault read", Experiment.Form.STREAM, "/v1/chat/completions", "m", 8, 4, 40, 0)),
        List.of(new Experiment.Phase("all", 1_000, 1, true)),
        steps,
        null);
  }
}
