package org.limpetring.daemon.caller;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.limpetring.base.CallerId;
import org.limpetring.base.FailureDomain;
import org.limpetring.base.GroupId;
import org.limpetring.base.HostId;
import org.limpetring.base.ManualClock;
import org.limpetring.base.Outcome;
import org.limpetring.base.PoolName;
import org.limpetring.base.RequestId;
import org.limpetring.base.ResultCode;
import org.limpetring.base.RouteName;
import org.limpetring.base.RunState;
import org.limpetring.daemon.admission.NoticePort;
import org.limpetring.groups.ServingGroup;
import org.limpetring.routing.choose.GroupIndex;
import org.limpetring.routing.cold.ColdNotice;
import org.limpetring.routing.poison.CrashNotice;
import org.limpetring.routing.poison.PoisonTracker;
import org.limpetring.routing.request.RequestEvent;
import org.limpetring.routing.request.RequestMachine;
import org.limpetring.routing.request.RequestTraits;
import org.limpetring.tables.AcceptedConfig;
import org.limpetring.tables.EngineAdapter;
import org.limpetring.tables.Pool;
import org.limpetring.tables.Route;

final class RequestDriverTest {

  private static final Outcome WHOLE = new Outcome.Ran(ResultCode.OK, "");
  private static final Outcome LOST = new Outcome.Unknown(ResultCode.UPSTREAM_LOST, "");
  private static final Outcome CROSSED = new Outcome.Unknown(ResultCode.ANSWER_MISMATCH, "");
  private static final Outcome REFUSED = new Outcome.NotRun(ResultCode.UPSTREAM_REFUSED, "");
  private static final String WHOLE_STREAM =
      "data: 0\n\ndata: 1\n\ndata: 2\n\ndata: 3\n\ndata: [DONE]\n\n";

  private final ManualClock clock = new ManualClock(1_000);
  private final AtomicInteger lookups = new AtomicInteger();
  private final AtomicInteger released = new AtomicInteger();
  private final List<RunState> settled = new ArrayList<>();
  private boolean fresh = true;
  private int lookupsWithoutGroup;

  static Stream<Arguments> tries() {
    return Stream.of(
        Arguments.of(true, List.of(end(4, WHOLE)), List.of(0), "OK"),
        Arguments.of(true, List.of(end(2, LOST), end(2, WHOLE)), List.of(0, 2), "OK"),
        Arguments.of(true, List.of(end(0, REFUSED), end(4, WHOLE)), List.of(0, 0), "OK"),
        Arguments.of(true, List.of(end(0, CROSSED), end(4, WHOLE)), List.of(0, 0), "OK"),
        Arguments.of(true, List.of(end(1, LOST), end(1, LOST)), List.of(0, 1), "2010"),
        Arguments.of(false, List.of(end(4, WHOLE)), List.of(0), "OK"),
        Arguments.of(false, List.of(end(0, REFUSED), end(4, WHOLE)), List.of(0, 0), "OK"),
        Arguments.of(false, List.of(end(0, LOST)), List.of(0), "3001"),
        Arguments.of(false, List.of(end(2, LOST)), List.of(0), "3001"),
        Arguments.of(false, List.of(end(0, CROSSED)), List.of(0), "3003"));
  }

  private static ScriptedEngine.Try end(int events, Outcome outcome) {
    return new ScriptedEngine.Try(events, 0, outcome);
  }

  @ParameterizedTest
  @MethodSource("tries")
  void callerGetsACompleteResponseOrAnUnmistakableError(
      boolean idempotent, List<ScriptedEngine.Try> script, List<Integer> offsets, String end)
      throws IOException {
    ScriptedEngine engine = new ScriptedEngine(script);
    MemoryChannel channel = run(engine, idempotent);
    assertThat(engine.resumeOffsets()).isEqualTo(offsets);
    if (end.equals("OK")) {
      assertThat(channel.text()).isEqualTo(WHOLE_STREAM);
      return;
    }
    assertThat(channel.text()).contains("\"code\":" + end);
    assertThat(channel.text()).contains("\"runState\":\"unknown\"");
    assertThat(channel.text()).doesNotContain("[DONE]");
  }

  @Test
  void daemonWithAStaleViewSendsNothing() throws IOException {
    fresh = false;
    ScriptedEngine engine = new ScriptedEngine(List.of());
    MemoryChannel channel = run(engine, true);
    assertThat(engine.resumeOffsets()).isEmpty();
    assertThat(channel.status()).isEqualTo(503);
    assertThat(channel.text()).contains("\"runState\":\"not run\"");
  }

  @Test
  void groupTakenOutAfterAdmissionGetsNoRequest() throws IOException {
    lookupsWithoutGroup = 1;
    ScriptedEngine engine = new ScriptedEngine(List.of(end(4, WHOLE)));
    MemoryChannel channel = run(engine, false);
    assertThat(engine.resumeOffsets()).containsExactly(0);
    assertThat(lookups.get()).isEqualTo(2);
    assertThat(channel.text()).isEqualTo(WHOLE_STREAM);
  }

  @Test
  void longBodyThatFailsAfterItsFirstByteIsNeitherRetriedNorCompleted() {
    ScriptedEngine engine =
        new ScriptedEngine(List.of(new ScriptedEngine.Try(3, 600_000, LOST), end(1, WHOLE)));
    MemoryChannel channel = new MemoryChannel();
    assertThrows(IOException.class, () -> run(engine, true, false, channel));
    assertThat(engine.resumeOffsets()).containsExactly(0);
    assertThat(released.get()).isEqualTo(1);
  }

  @Test
  void callerThatLeavesAtTheEndLeaksNeitherPermitNorClaim() throws IOException {
    MemoryChannel channel = new MemoryChannel();
    channel.failOnFlush();
    run(new ScriptedEngine(List.of(end(1, WHOLE))), false, false, channel);
    assertThat(released.get()).isEqualTo(1);
    assertThat(settled).containsExactly(RunState.RAN);
  }

  private MemoryChannel run(ScriptedEngine engine, boolean idempotent) throws IOException {
    MemoryChannel channel = new MemoryChannel();
    run(engine, idempotent, true, channel);
    return channel;
  }

  private void run(
      ScriptedEngine engine, boolean idempotent, boolean streamed, MemoryChannel channel)
      throws IOException {
    CallerRequest request = request(streamed);
    CallerResponse response = new CallerResponse(channel, request.id(), streamed);
    RequestTraits traits = new RequestTraits(idempotent, idempotent ? null : "key", streamed, 3);
    new RequestDriver(
            clock,
            engine,
            new AnyGroupAdmission(),
            new GrantingClaims(),
            new PoisonGuard(new PoisonTracker(100, clock), new IgnoredNotices()),
            new FixedState(),
            new RequestMachine(traits, nowMs -> true),
            request,
            response,
            route(idempotent),
            pool())
        .run();
  }

  private CallerRequest request(boolean streamed) {
    return new CallerRequest(
        new RequestId("r1"),
        new CallerId("planning"),
        "POST",
        "/v1/chat/completions",
        "application/json",
        new byte[] {'{', '}'},
        new ChatBody("m", streamed, 4),
        "key",
        clock.nowMs(),
        0);
  }

  private static Route route(boolean idempotent) {
    return new Route(
        new RouteName("r"),
        Set.of(),
        "/",
        Set.of(),
        null,
        new PoolName("p"),
        idempotent,
        5,
        60_000);
  }

  private static Pool pool() {
    return new Pool(
        new PoolName("p"),
        "supplier",
        EngineAdapter.CHAT_ENGINE,
        "m",
        List.of(new HostId("h")),
        1,
        1,
        0,
        16,
        2,
        true);
  }

  /** Admits each try to a group that the request has not tried. */
  private final class AnyGroupAdmission implements Admission {

    @Override
    public Result admit(AdmissionRequest request) {
      ServingGroup group =
          new ServingGroup(
              new GroupId("g" + request.excluded().size()),
              new PoolName("p"),
              1,
              List.of(new HostId("h")),
              "127.0.0.1:1",
              new FailureDomain("north"),
              "i",
              false,
              0);
      return new Result.Admitted(new CountingPermit(group, request.deadlineAtMs(), released));
    }
  }

  private record CountingPermit(ServingGroup group, long expiresAtMs, AtomicInteger released)
      implements Admission.Permit {

    @Override
    public boolean isCold() {
      return false;
    }

    @Override
    public void release(Admission.TryReport report) {
      released.incrementAndGet();
    }
  }

  private static final class IgnoredNotices implements NoticePort {

    @Override
    public void publish(ColdNotice notice) {}

    @Override
    public void publish(CrashNotice notice) {}
  }

  private final class GrantingClaims implements Claims {

    @Override
    public RequestEvent claim(String key, CallerRequest request, long deadlineAtMs) {
      return new RequestEvent.ClaimGranted();
    }

    @Override
    public void settle(
        String key, CallerRequest request, RunState runState, CallerResponse response) {
      settled.add(runState);
    }

    @Override
    public void replay(String key, CallerRequest request, CallerResponse response) {}
  }

  private final class FixedState implements DaemonState {

    @Override
    public AcceptedConfig config() {
      return AcceptedConfig.NONE;
    }

    @Override
    public GroupIndex groups() {
      return GroupIndex.EMPTY;
    }

    @Override
    public boolean isFresh(long nowMs) {
      return fresh;
    }

    @Override
    public boolean serves(ServingGroup group, boolean asCold, long nowMs) {
      return lookups.incrementAndGet() > lookupsWithoutGroup;
    }

    @Override
    public boolean isReady() {
      return true;
    }

    @Override
    public boolean isDraining() {
      return false;
    }

    @Override
    public boolean isStopping() {
      return false;
    }
  }
}
