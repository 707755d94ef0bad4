package org.limpetring.fleet.membership;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.limpetring.base.DaemonId;

/** Failure detection with lost messages, crashes and pauses. */
final class MembershipProperties {

  private static final int TICK_MS = 100;
  private static final int MAX_DETECTION_MS = 15_000;

  private record Delivery(long atMs, long number, Runnable action) implements Comparable<Delivery> {
    @Override
    public int compareTo(Delivery other) {
      int byTime = Long.compare(atMs, other.atMs);
      return byTime != 0 ? byTime : Long.compare(number, other.number);
    }
  }

  private static final class Simulation {
    private final List<MembershipMachine> machines = new ArrayList<>();
    private final List<Set<DaemonId>> lost = new ArrayList<>();
    private final Set<Integer> unresponsive = new HashSet<>();
    private final PriorityQueue<Delivery> network = new PriorityQueue<>();
    private final SplittableRandom random;
    private final double lossRate;
    private long nowMs;
    private long sent;

    Simulation(int size, double lossRate, long seed) {
      this.random = new SplittableRandom(seed);
      this.lossRate = lossRate;
      List<DaemonId> ids = new ArrayList<>();
      for (int number = 0; number < size; number++) {
        ids.add(id(number));
      }
      for (int number = 0; number < size; number++) {
        MembershipMachine machine =
            new MembershipMachine(id(number), MembershipSettings.DEFAULT, seed + number);
        machine.setPeers(ids);
        machines.add(machine);
        lost.add(new HashSet<>());
      }
    }

    void advance(int ms) {
      for (int passed = 0; passed < ms; passed += TICK_MS) {
        nowMs += TICK_MS;
        while (!network.isEmpty() && network.element().atMs() <= nowMs) {
          network.remove().action().run();
        }
        for (int number = 0; number < machines.size(); number++) {
          if (!unresponsive.contains(number)) {
            run(number, machines.get(number).onTick(nowMs));
          }
        }
      }
    }

    private void run(int from, List<MembershipEffect> effects) {
      for (MembershipEffect effect : effects) {
        if (effect instanceof MembershipEffect.SendProbe send) {
          deliver(send.peer(), to -> to.onProbe(id(from), send.number(), send.updates(), nowMs));
        } else if (effect instanceof MembershipEffect.SendProbeRequest send) {
          deliver(
              send.helper(),
              to ->
                  to.onProbeRequest(id(from), send.target(), send.number(), send.updates(), nowMs));
        } else if (effect instanceof MembershipEffect.SendAck send) {
          deliver(send.peer(), to -> to.onAck(send.target(), send.number(), send.updates(), nowMs));
        } else if (effect instanceof MembershipEffect.Lost loss) {
          lost.get(from).add(loss.daemon());
        } else if (effect instanceof MembershipEffect.Recovered recovered) {
          lost.get(from).remove(recovered.daemon());
        }
      }
    }

    private void deliver(DaemonId peer, Receiver receiver) {
      if (random.nextDouble() < lossRate) {
        return;
      }
      int to = Integer.parseInt(peer.value().substring(1));
      Runnable action =
          () -> {
            if (!unresponsive.contains(to)) {
              run(to, receiver.receive(machines.get(to)));
            }
          };
      network.add(new Delivery(nowMs + 1 + random.nextInt(20), sent++, action));
    }
  }

  private interface Receiver {
    List<MembershipEffect> receive(MembershipMachine machine);
  }

  private static DaemonId id(int number) {
    return new DaemonId("d" + number);
  }

  @Property(tries = 60, seed = "20261204")
  void exactlyTheCrashedDaemonsAreReportedLost(
      @ForAll @IntRange(min = 3, max = 27) int size,
      @ForAll @IntRange(max = 8) int crashes,
      @ForAll long seed) {
    Simulation simulation = new Simulation(size, 0.02, seed);
    simulation.advance(5_000);
    Set<DaemonId> crashed = new HashSet<>();
    for (int number = 0; number < Math.min(crashes, size / 3); number++) {
      simulation.unresponsive.add(number);
      crashed.add(id(number));
    }
    simulation.advance(MAX_DETECTION_MS);
    for (int number = 0; number < size; number++) {
      if (!simulation.unresponsive.contains(number)) {
        assertWithMessage("as seen by %s", id(number))
            .that(simulation.lost.get(number))
            .containsExactlyElementsIn(crashed);
      }
    }
  }

  @Example
  void pausedDaemonReportsNoLossesAndIsTrustedAgain() {
    Simulation simulation = new Simulation(9, 0, 7);
    simulation.advance(5_000);
    simulation.unresponsive.add(4);
    simulation.advance(20_000);
    assertThat(simulation.lost.get(0)).containsExactly(id(4));
    simulation.unresponsive.clear();
    simulation.advance(20_000);
    for (Set<DaemonId> lost : simulation.lost) {
      assertThat(lost).isEmpty();
    }
  }
}
