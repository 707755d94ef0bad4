package org.limpetring.fleet.config;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;
import net.jqwik.api.state.Action;
import net.jqwik.api.state.ActionChain;
import net.jqwik.api.state.Transformer;
import org.limpetring.tables.AcceptedConfig;
import org.limpetring.tables.PoolTable;
import org.limpetring.tables.RouteTable;
import org.limpetring.tables.ServiceMarks;

/** The accepted configuration under races, lost responses, outages, lost messages and restarts. */
final class ConfigMachineProperties {

  private enum Op {
    EDIT_VALID {
      @Override
      void run(ConfigSimulation simulation, int index) {
        simulation.editRoutes(true);
      }
    },
    EDIT_INVALID {
      @Override
      void run(ConfigSimulation simulation, int index) {
        simulation.editRoutes(false);
      }
    },
    TOGGLE_MARK {
      @Override
      void run(ConfigSimulation simulation, int index) {
        simulation.toggleMark();
      }
    },
    LOSE_RESPONSE {
      @Override
      void run(ConfigSimulation simulation, int index) {
        simulation.loseNextResponse();
      }
    },
    PLATFORM_DOWN {
      @Override
      void run(ConfigSimulation simulation, int index) {
        simulation.setPlatformDown(true);
      }
    },
    PLATFORM_UP {
      @Override
      void run(ConfigSimulation simulation, int index) {
        simulation.setPlatformDown(false);
      }
    },
    RESTART {
      @Override
      void run(ConfigSimulation simulation, int index) {
        simulation.restart(index);
      }
    },
    DROP_MESSAGE {
      @Override
      void run(ConfigSimulation simulation, int index) {
        simulation.dropMessage(index);
      }
    },
    TICK {
      @Override
      void run(ConfigSimulation simulation, int index) {
        simulation.advance(index, 300);
      }
    },
    RUN_JOB {
      @Override
      void run(ConfigSimulation simulation, int index) {
        simulation.runJob(index);
      }
    },
    PUSH_STATE {
      @Override
      void run(ConfigSimulation simulation, int index) {
        simulation.pushState(index);
      }
    },
    RECEIVE {
      @Override
      void run(ConfigSimulation simulation, int index) {
        simulation.receive(index);
      }
    };

    abstract void run(ConfigSimulation simulation, int index);
  }

  private record Step(Op op, int index) {}

  @Property(tries = 600, seed = "20261204")
  void generationsIncreaseAndNewestEditWins(@ForAll("chains") ActionChain<ConfigSimulation> chain) {
    ConfigSimulation simulation = chain.run();
    simulation.settle();
  }

  @Example
  void olderGenerationIsIgnored() {
    NumberedFormat format = new NumberedFormat();
    String older = format.write(config(1));
    String newer = format.write(config(2));
    ConfigMachine machine = new ConfigMachine(format);
    machine.onAccepted(newer);
    assertThat(machine.onAccepted(older)).isEmpty();
    assertThat(machine.inForce().generation()).isEqualTo(2);
  }

  private static AcceptedConfig config(long generation) {
    return new AcceptedConfig(
        generation, generation, RouteTable.EMPTY, PoolTable.EMPTY, ServiceMarks.NONE);
  }

  @Provide
  Arbitrary<ActionChain<ConfigSimulation>> chains() {
    return ActionChain.startWith(ConfigSimulation::new)
        .withAction(new RandomStep())
        .withMaxTransformations(160);
  }

  private static final class RandomStep implements Action.Independent<ConfigSimulation> {
    @Override
    public Arbitrary<Transformer<ConfigSimulation>> transformer() {
      Arbitrary<Op> ops =
          Arbitraries.frequency(
              Tuple.of(9, Op.RUN_JOB),
              Tuple.of(4, Op.PUSH_STATE),
              Tuple.of(7, Op.RECEIVE),
              Tuple.of(6, Op.TICK),
              Tuple.of(2, Op.EDIT_VALID),
              Tuple.of(1, Op.EDIT_INVALID),
              Tuple.of(1, Op.TOGGLE_MARK),
              Tuple.of(1, Op.LOSE_RESPONSE),
              Tuple.of(1, Op.PLATFORM_DOWN),
              Tuple.of(1, Op.PLATFORM_UP),
              Tuple.of(1, Op.RESTART),
              Tuple.of(1, Op.DROP_MESSAGE));
      Arbitrary<Integer> indexes = Arbitraries.integers().between(0, ConfigSimulation.DAEMONS - 1);
      return Combinators.combine(ops, indexes)
          .as(Step::new)
          .map(
              step ->
                  Transformer.mutate(
                      step.toString(),
                      simulation -> {
                        step.op().run(simulation, step.index());
                        simulation.check();
                      }));
    }
  }
}
