package org.limpetring.engine.http;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.limpetring.base.Outcome;
import org.limpetring.base.RequestId;
import org.limpetring.base.ResultCode;
import org.limpetring.base.RunState;
import org.limpetring.engine.EngineRequest;
import org.limpetring.engine.ResponseSink;

final class HttpEnginePortTest {

  private static final int FIRST_BYTE_MS = 400;
  private static final String HEAD =
      "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Limpet-Request: r1\r\n\r\n";
  private static final String FIRST = "data: {\"id\":\"r1\",\"index\":0}\n\n";
  private static final String SECOND = "data: {\"id\":\"r1\",\"index\":1}\n\n";
  private static final String DONE = "data: [DONE]\n\n";

  static Stream<Arguments> answers() {
    return Stream.of(
        answer("whole", HEAD + FIRST + SECOND + DONE, ResultCode.OK, RunState.RAN),
        answer("no end marker", HEAD + FIRST, ResultCode.ANSWER_TRUNCATED, RunState.UNKNOWN),
        answer("gap", HEAD + SECOND + DONE, ResultCode.ANSWER_TRUNCATED, RunState.UNKNOWN),
        answer(
            "repeat", HEAD + FIRST + FIRST + DONE, ResultCode.ANSWER_TRUNCATED, RunState.UNKNOWN),
        answer("no JSON", HEAD + "data: x\n\n", ResultCode.ANSWER_TRUNCATED, RunState.UNKNOWN),
        answer(
            "crossed head",
            HEAD.replace("r1", "r2") + FIRST + DONE,
            ResultCode.ANSWER_MISMATCH,
            RunState.UNKNOWN),
        answer(
            "crossed event",
            HEAD + FIRST.replace("r1", "r2") + DONE,
            ResultCode.ANSWER_MISMATCH,
            RunState.UNKNOWN),
        answer(
            "refused",
            "HTTP/1.1 503 No\r\nX-Limpet-Not-Run: true\r\nContent-Length: 0\r\n\r\n",
            ResultCode.UPSTREAM_REFUSED,
            RunState.NOT_RUN),
        answer(
            "error without the word of the upstream",
            "HTTP/1.1 503 No\r\nX-Limpet-Request: r1\r\nContent-Length: 0\r\n\r\n",
            ResultCode.UPSTREAM_ERROR,
            RunState.RAN),
        answer("closed at once", "", ResultCode.UPSTREAM_LOST, RunState.UNKNOWN));
  }

  private static Arguments answer(String name, String bytes, ResultCode code, RunState state) {
    return Arguments.of(name, bytes, code, state);
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("answers")
  void theOutcomeTellsWhatIsKnown(String name, String bytes, ResultCode code, RunState state)
      throws IOException {
    assertThat(name).isNotEmpty();
    Outcome outcome = sendTo(bytes, false);
    assertThat(outcome.code()).isEqualTo(code);
    assertThat(outcome.runState()).isEqualTo(state);
  }

  static Stream<Arguments> silences() {
    return Stream.of(Arguments.of(""), Arguments.of(HEAD), Arguments.of(HEAD + FIRST));
  }

  @ParameterizedTest
  @MethodSource("silences")
  void aSilentConnectionEndsAsUnknownInTime(String bytes) throws IOException {
    long startNs = System.nanoTime();
    Outcome outcome = sendTo(bytes, true);
    long tookMs = (System.nanoTime() - startNs) / 1_000_000;
    assertThat(outcome.code()).isEqualTo(ResultCode.UPSTREAM_TIMEOUT);
    assertThat(outcome.runState()).isEqualTo(RunState.UNKNOWN);
    assertThat(tookMs).isLessThan(4L * FIRST_BYTE_MS);
  }

  @Test
  void withoutAConnectionNothingRan() throws IOException {
    int freePort;
    try (ServerSocket reserved = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      freePort = reserved.getLocalPort();
    }
    try (HttpEnginePort port = new HttpEnginePort(EngineSettings.DEFAULT)) {
      Outcome outcome = port.send("127.0.0.1:" + freePort, request(), new CollectingSink());
      assertThat(outcome).isInstanceOf(Outcome.NotRun.class);
    }
  }

  private static Outcome sendTo(String answer, boolean keepOpen) throws IOException {
    try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        HttpEnginePort port = new HttpEnginePort(EngineSettings.DEFAULT)) {
      Thread upstream = new Thread(() -> answerOnce(server, answer, keepOpen));
      upstream.start();
      return port.send("127.0.0.1:" + server.getLocalPort(), request(), new CollectingSink());
    }
  }

  private static void answerOnce(ServerSocket server, String answer, boolean keepOpen) {
    try (Socket socket = server.accept()) {
      InputStream input = socket.getInputStream();
      readHead(input);
      socket.getOutputStream().write(answer.getBytes(UTF_8));
      socket.getOutputStream().flush();
      if (keepOpen) {
        input.readAllBytes();
      }
    } catch (IOException closed) {
      return;
    }
  }

  private static void readHead(InputStream input) throws IOException {
    StringBuilder head = new StringBuilder();
    while (head.indexOf("\r\n\r\n") < 0 || !head.toString().endsWith("{}")) {
      int read = input.read();
      if (read < 0) {
        return;
      }
      head.append((char) read);
    }
  }

  private static EngineRequest request() {
    return new EngineRequest(
        new RequestId("r1"),
        "POST",
        "/v1/chat/completions",
        "application/json",
        "{}".getBytes(UTF_8),
        5,
        0,
        true,
        5_000,
        FIRST_BYTE_MS,
        FIRST_BYTE_MS);
  }

  private static final class CollectingSink implements ResponseSink {

    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();

    @Override
    public void begin(int status, String contentType) {
      bytes.reset();
    }

    @Override
    public void part(byte[] part) {
      bytes.writeBytes(part);
    }
  }
}
