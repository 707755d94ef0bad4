package org.limpetring.routing;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.jetbrains.lincheck.datastructures.Operation;
import org.jetbrains.lincheck.datastructures.Param;
import org.jetbrains.lincheck.datastructures.StressOptions;
import org.jetbrains.lincheck.datastructures.ThreadIdGen;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.limpetring.base.CallerId;
import org.limpetring.base.DaemonId;
import org.limpetring.base.FailureDomain;
import org.limpetring.base.GroupId;
import org.limpetring.base.HostId;
import org.limpetring.base.PoolName;
import org.limpetring.fleet.DaemonEntry;
import org.limpetring.fleet.Roster;
import org.limpetring.groups.ServingGroup;
import org.limpetring.routing.admit.AdmissionEffect;
import org.limpetring.routing.admit.AdmissionGate;
import org.limpetring.routing.admit.AdmissionSettings;
import org.limpetring.routing.choose.GroupIndex;
import org.limpetring.routing.choose.GroupSlotAllocator;
import org.limpetring.routing.choose.InFlightCounts;
import org.limpetring.routing.cold.ColdGate;
import org.limpetring.routing.cold.ColdPermit;
import org.limpetring.routing.cold.ColdPermitDecision;
import org.limpetring.routing.cold.ColdSettings;

/** Checks shared state of the request path for linearizability under stress. */
public class RequestPathConcurrencyTest {

  private static final int SLOTS = 2;
  private static final long FAR_FUTURE_MS = 1_000_000;
  private static final DaemonId SELF = new DaemonId("d");
  private static final FailureDomain DOMAIN = new FailureDomain("a");
  private static final ServingGroup GROUP =
      new ServingGroup(
          new GroupId("g"),
          new PoolName("p"),
          1,
          List.of(new HostId("h")),
          "127.0.0.1:1",
          DOMAIN,
          "i",
          false,
          0);

  /** In-flight counts with a limit. */
  public static class Counts {

    private final InFlightCounts inFlight = new InFlightCounts();

    /** Begins a request unless all slots are in use. */
    @Operation
    public boolean begin() {
      return inFlight.tryBegin(GROUP.id(), SLOTS);
    }

    /** Ends a request. */
    @Operation
    public void end() {
      inFlight.end(GROUP.id());
    }

    /** Requests in progress. */
    @Operation
    public int get() {
      return inFlight.get(GROUP.id());
    }
  }

  /** Gate without a queue. */
  public static class Gate {

    private final InFlightCounts inFlight = new InFlightCounts();
    private final GroupIndex index = GroupIndex.of(List.of(GROUP));
    private final AdmissionGate gate =
        new AdmissionGate(
            new AdmissionSettings(0, 1),
            new GroupSlotAllocator(
                GROUP.pool(), () -> index, inFlight, group -> SLOTS, new SplittableRandom(1)),
            () -> 0);

    /** Requests admission; returns whether it was granted. */
    @Operation
    public boolean enter() {
      AdmissionGate.PendingAdmission pending =
          gate.requestAdmission(new CallerId("c"), 1, FAR_FUTURE_MS, Set.of(), 0);
      return pending.decision().join() instanceof AdmissionEffect.Admit;
    }

    /** Releases a slot; returns whether any request was admitted. */
    @Operation
    public synchronized boolean leave() {
      boolean isAnyAdmitted = inFlight.get(GROUP.id()) > 0;
      if (isAnyAdmitted) {
        gate.release(GROUP);
      }
      return isAnyAdmitted;
    }

    /** Requests in progress. */
    @Operation
    public int get() {
      return inFlight.get(GROUP.id());
    }
  }

  /** Permits of a cold group with one slot open. */
  public static class Cold {

    private final ColdGate gate = new ColdGate(SELF, ColdSettings.DEFAULT);

    /**
     * Permits by the thread that holds them. With one queue for all threads, the scenario itself is
     * not linearizable: between the gate's grant and the insertion into the queue, another thread
     * can see the permit in use but cannot release it.
     */
    private final List<Deque<ColdPermit>> permits =
        List.of(new ArrayDeque<>(), new ArrayDeque<>(), new ArrayDeque<>(), new ArrayDeque<>());

    /** Creates a gate of the only daemon of a roster whose quarantine is over. */
    public Cold() {
      gate.onRoster(new Roster(1, List.of(new DaemonEntry(SELF, "127.0.0.1", 1, DOMAIN))), 0);
    }

    /** Acquires a permit; returns whether it was granted. */
    @Operation
    public boolean acquire(@Param(gen = ThreadIdGen.class) int thread) {
      ColdPermitDecision decision = gate.tryAcquire(GROUP, 4, 10, true, FAR_FUTURE_MS);
      if (decision instanceof ColdPermitDecision.Granted granted) {
        permits.get(thread).addLast(granted.permit());
        return true;
      }
      return false;
    }

    /** Returns the number of requests that hold a permit. */
    @Operation
    public int inUse() {
      return gate.inUse(GROUP.id(), FAR_FUTURE_MS);
    }

    /** Releases a permit of the same thread; returns whether there was one. */
    @Operation
    public boolean release(@Param(gen = ThreadIdGen.class) int thread) {
      @Nullable ColdPermit permit = permits.get(thread).pollFirst();
      if (permit != null) {
        gate.release(permit, false);
      }
      return permit != null;
    }
  }

  @Test
  void inFlightCountsAreLinearizable() {
    options().check(Counts.class);
  }

  @Test
  void admissionGateIsLinearizable() {
    options().check(Gate.class);
  }

  @Test
  void coldPermitsAreLinearizable() {
    options().check(Cold.class);
  }

  private static StressOptions options() {
    return new StressOptions()
        .iterations(8)
        .invocationsPerIteration(200)
        .threads(2)
        .actorsPerThread(3);
  }
}
