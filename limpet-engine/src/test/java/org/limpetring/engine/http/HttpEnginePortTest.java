package org.limpetring.engine.http;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.stream.IntStream;
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
  private static final String RESPONSE_HEAD =
      "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Limpet-Request: r1\r\n\r\n";
  private static final String FIRST_EVENT = "data: {\"id\":\"r1\",\"index\":0}\n\n";
  private static final String SECOND_EVENT = "data: {\"id\":\"r1\",\"index\":1}\n\n";
  private static final String END_EVENT = "data: [DONE]\n\n";

  static Stream<Arguments> responses() {
    return Stream.of(
        response(
            "whole",
            RESPONSE_HEAD + FIRST_EVENT + SECOND_EVENT + END_EVENT,
            ResultCode.OK,
            RunState.RAN),
        response(
            "no end marker",
            RESPONSE_HEAD + FIRST_EVENT,
            ResultCode.ANSWER_TRUNCATED,
            RunState.UNKNOWN),
        response(
            "gap",
            RESPONSE_HEAD + SECOND_EVENT + END_EVENT,
            ResultCode.ANSWER_TRUNCATED,
            RunState.UNKNOWN),
        response(
            "duplicate",
            RESPONSE_HEAD + FIRST_EVENT + FIRST_EVENT + END_EVENT,
            ResultCode.ANSWER_TRUNCATED,
            RunState.UNKNOWN),
        response(
            "no JSON",
            RESPONSE_HEAD + "data: x\n\n",
            ResultCode.ANSWER_TRUNCATED,
            RunState.UNKNOWN),
        response(
            "head of another request",
            RESPONSE_HEAD.replace("r1", "r2") + FIRST_EVENT + END_EVENT,
            ResultCode.ANSWER_MISMATCH,
            RunState.UNKNOWN),
        response(
            "event of another request",
            RESPONSE_HEAD + FIRST_EVENT.replace("r1", "r2") + END_EVENT,
            ResultCode.ANSWER_MISMATCH,
            RunState.UNKNOWN),
        response(
            "refused",
            "HTTP/1.1 503 No\r\nX-Limpet-Not-Run: true\r\nContent-Length: 0\r\n\r\n",
            ResultCode.UPSTREAM_REFUSED,
            RunState.NOT_RUN),
        response(
            "error without the not-run header",
            "HTTP/1.1 503 No\r\nX-Limpet-Request: r1\r\nContent-Length: 0\r\n\r\n",
            ResultCode.UPSTREAM_ERROR,
            RunState.RAN),
        response("closed at once", "", ResultCode.UPSTREAM_LOST, RunState.UNKNOWN));
  }

  private static Arguments response(String name, String bytes, ResultCode code, RunState state) {
    return Arguments.of(name, bytes, code, state);
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("responses")
  void outcomeMatchesTheUpstreamResponse(String name, String bytes, ResultCode code, RunState state)
      throws IOException {
    assertThat(name).isNotEmpty();
    Outcome outcome = sendTo(bytes, false);
    assertThat(outcome.code()).isEqualTo(code);
    assertThat(outcome.runState()).isEqualTo(state);
  }

  static Stream<Arguments> stalledResponses() {
    return Stream.of(
        Arguments.of(""), Arguments.of(RESPONSE_HEAD), Arguments.of(RESPONSE_HEAD + FIRST_EVENT));
  }

  @ParameterizedTest
  @MethodSource("stalledResponses")
  void stalledConnectionEndsAsUnknownWithinTheTimeout(String bytes) throws IOException {
    long startNs = System.nanoTime();
    Outcome outcome = sendTo(bytes, true);
    long elapsedMs = (System.nanoTime() - startNs) / 1_000_000;
    assertThat(outcome.code()).isEqualTo(ResultCode.UPSTREAM_TIMEOUT);
    assertThat(outcome.runState()).isEqualTo(RunState.UNKNOWN);
    assertThat(elapsedMs).isLessThan(4L * FIRST_BYTE_MS);
  }

  static Stream<String> headsCutShort() {
    String start = "HTTP/1.1 200 OK\r\nX-Limpet-Request: r1\r\nContent-Type: text/plain\r\n";
    return Stream.of(
            start + "\r\n",
            start + "Content-Length: 5\r\n\r\n",
            start + "Transfer-Encoding: chunked\r\n\r\n")
        .flatMap(
            head ->
                IntStream.range(0, head.length()).mapToObj(length -> head.substring(0, length)));
  }

  /** MIXED: an answer whose head was cut became a 200 with an empty body. */
  @ParameterizedTest
  @MethodSource("headsCutShort")
  void answerCutInItsHeadIsNoAnswer(String cut) throws IOException {
    Outcome outcome = sendTo(cut, false, request(false));
    assertThat(outcome.code()).isEqualTo(ResultCode.UPSTREAM_LOST);
    assertThat(outcome.runState()).isEqualTo(RunState.UNKNOWN);
  }

  static Stream<String> beginningsOfACopy() {
    String copy =
        "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nX-Limpet-Request: r0\r\n"
            + "Content-Length: 4\r\n\r\ncopy";
    return IntStream.rangeClosed(1, copy.length()).mapToObj(length -> copy.substring(0, length));
  }

  /**
   * MIXED: the copy's status line became that of the next response, so a 500 was taken as a 200.
   */
  @ParameterizedTest
  @MethodSource("beginningsOfACopy")
  void copyBrokenOffInFrontOfTheNextResponseDoesNotChangeIt(String beginning) throws IOException {
    String failure = "HTTP/1.1 500 Failed\r\nX-Limpet-Request: r1\r\nContent-Length: 4\r\n\r\nnext";
    Outcome outcome = sendTo(beginning + failure, false, request(false));
    assertThat(outcome.code()).isNotEqualTo(ResultCode.OK);
  }

  @Test
  void failedConnectionIsReportedAsNotRun() throws IOException {
    int freePort;
    try (ServerSocket reserved = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      freePort = reserved.getLocalPort();
    }
    try (HttpEnginePort port = new HttpEnginePort(EngineSettings.DEFAULT)) {
      Outcome outcome = port.send("127.0.0.1:" + freePort, request(true), new CollectingSink());
      assertThat(outcome).isInstanceOf(Outcome.NotRun.class);
    }
  }

  private static Outcome sendTo(String response, boolean keepOpen) throws IOException {
    return sendTo(response, keepOpen, request(true));
  }

  private static Outcome sendTo(String response, boolean keepOpen, EngineRequest request)
      throws IOException {
    try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        HttpEnginePort port = new HttpEnginePort(EngineSettings.DEFAULT)) {
      Thread upstream = new Thread(() -> respondOnce(server, response, keepOpen));
      upstream.start();
      return port.send("127.0.0.1:" + server.getLocalPort(), request, new CollectingSink());
    }
  }

  private static void respondOnce(ServerSocket server, String response, boolean keepOpen) {
    try (Socket socket = server.accept()) {
      InputStream input = socket.getInputStream();
      readHead(input);
      socket.getOutputStream().write(response.getBytes(UTF_8));
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

  private static EngineRequest request(boolean isStreamed) {
    return new EngineRequest(
        new RequestId("r1"),
        "POST",
        "/v1/chat/completions",
        "application/json",
        "{}".getBytes(UTF_8),
        5,
        0,
        isStreamed,
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
