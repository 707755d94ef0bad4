package org.limpetring.routing.request;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayDeque;
import java.util.List;
import java.util.Queue;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.limpetring.base.FailureDomain;
import org.limpetring.base.GroupId;
import org.limpetring.base.HostId;
import org.limpetring.base.Outcome;
import org.limpetring.base.PoolName;
import org.limpetring.base.ResultCode;
import org.limpetring.base.RunState;
import org.limpetring.groups.ServingGroup;

final class RequestMachineTest {

  private static final int MAX_TRIES = 3;
  private static final int MAX_STEPS = 40;

  /**
   * Simulates random upstreams, claims and interruptions; the oracle counts the runs independently.
   */
  @Property(tries = 5_000, seed = "1")
  void reportsOneTrueResultAndNeverRunsTwice(@ForAll long seed) {
    World world = new World(new SplittableRandom(seed));
    world.play();
    assertWithMessage("finishes").that(world.finishes).isEqualTo(1);
    assertWithMessage("unsettled claims").that(world.openClaims).isEqualTo(0);
    assertWithMessage("permits held").that(world.permits).isEqualTo(0);
    if (!world.traits.idempotent()) {
      assertWithMessage("runs").that(world.runs).isAtMost(1);
    }
    if (world.reported == RunState.NOT_RUN) {
      assertWithMessage("runs of a request reported as not run").that(world.runs).isEqualTo(0);
    }
    if (world.reportedCode == ResultCode.OK && !world.isReplayed) {
      assertWithMessage("events delivered to the caller")
          .that(world.delivered)
          .isEqualTo(World.EVENTS);
    }
  }

  /** Simulated environment of one request. */
  private static final class World {

    static final int EVENTS = 5;

    final SplittableRandom random;
    final RequestTraits traits;
    final RequestMachine machine;
    final Queue<RequestEffect> pending = new ArrayDeque<>();
    int finishes;
    int permits;
    int openClaims;
    int runs;
    int delivered;
    boolean isReplayed;
    RunState reported = RunState.UNKNOWN;
    ResultCode reportedCode = ResultCode.INTERNAL;

    World(SplittableRandom random) {
      this.random = random;
      boolean idempotent = random.nextBoolean();
      this.traits =
          new RequestTraits(idempotent, idempotent ? null : "k", random.nextBoolean(), MAX_TRIES);
      this.machine = new RequestMachine(traits, nowMs -> random.nextInt(4) > 0);
    }

    void play() {
      pending.addAll(machine.start());
      for (int step = 0; step < MAX_STEPS && !pending.isEmpty(); step++) {
        perform(pending.remove());
      }
      assertThat(pending).isEmpty();
    }

    private void perform(RequestEffect effect) {
      if (effect instanceof RequestEffect.Admit) {
        interruptSometimes();
        handle(admission());
      } else if (effect instanceof RequestEffect.Claim) {
        interruptSometimes();
        handle(claim());
      } else if (effect instanceof RequestEffect.Dispatch dispatch) {
        send(dispatch);
      } else if (effect instanceof RequestEffect.Release) {
        permits--;
      } else if (effect instanceof RequestEffect.SettleClaim) {
        openClaims--;
      } else if (effect instanceof RequestEffect.Finish finish) {
        finishes++;
        reported = finish.runState();
        reportedCode = finish.code();
      }
    }

    private RequestEvent admission() {
      if (random.nextInt(6) == 0) {
        return new RequestEvent.Refused(ResultCode.QUEUE_FULL);
      }
      permits++;
      return new RequestEvent.Admitted(group(random.nextInt(9)));
    }

    private RequestEvent claim() {
      int draw = random.nextInt(8);
      if (draw == 0) {
        return new RequestEvent.ClaimDenied(ResultCode.DUPLICATE_IN_PROGRESS);
      }
      if (draw == 1) {
        isReplayed = !machine.isFinished();
        return new RequestEvent.ClaimReplayed();
      }
      openClaims++;
      return new RequestEvent.ClaimGranted();
    }

    private void send(RequestEffect.Dispatch dispatch) {
      if (machine.isFinished()) {
        return;
      }
      if (random.nextInt(8) == 0) {
        handle(new RequestEvent.GroupUnavailable());
        return;
      }
      if (random.nextInt(3) == 0) {
        handle(
            new RequestEvent.TryEnded(
                new Outcome.NotRun(ResultCode.UPSTREAM_REFUSED, ""), delivered));
        return;
      }
      boolean hasRun = random.nextInt(4) > 0;
      runs += hasRun ? 1 : 0;
      interruptSometimes();
      int deliveredAfterTry =
          hasRun
              ? dispatch.resumeOffset() + random.nextInt(EVENTS + 1 - dispatch.resumeOffset())
              : 0;
      delivered = Math.max(delivered, deliveredAfterTry);
      boolean isComplete = hasRun && delivered == EVENTS;
      Outcome outcome =
          isComplete
              ? new Outcome.Ran(ResultCode.OK, "")
              : new Outcome.Unknown(ResultCode.UPSTREAM_LOST, "");
      handle(new RequestEvent.TryEnded(outcome, delivered));
    }

    private void interruptSometimes() {
      switch (random.nextInt(20)) {
        case 0 -> handle(new RequestEvent.DeadlinePassed());
        case 1 -> handle(new RequestEvent.CallerDisconnected());
        case 2 -> handle(new RequestEvent.Stopping());
        default -> {}
      }
    }

    private void handle(RequestEvent event) {
      List<RequestEffect> effects = machine.on(event, 0);
      pending.addAll(effects);
    }
  }

  private static ServingGroup group(int number) {
    return new ServingGroup(
        new GroupId("g" + number),
        new PoolName("p"),
        1,
        List.of(new HostId("h" + number)),
        "127.0.0.1:1",
        new FailureDomain("a"),
        "i",
        false,
        0);
  }
}
