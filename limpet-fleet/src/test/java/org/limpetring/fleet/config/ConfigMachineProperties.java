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

/** The accepted configuration under races, lost answers, outages, lost messages and restarts. */
final class ConfigMachineProperties {

  private enum Op {
    EDIT_VALID {
      @Override
      void run(ConfigWorld world, int index) {
        world.editRoutes(true);
      }
    },
    EDIT_INVALID {
      @Override
      void run(ConfigWorld world, int index) {
        world.editRoutes(false);
      }
    },
    TOGGLE_MARK {
      @Override
      void run(ConfigWorld world, int index) {
        world.toggleMark();
      }
    },
    LOSE_ANSWER {
      @Override
      void run(ConfigWorld world, int index) {
        world.loseAnswer();
      }
    },
    DOWN {
      @Override
      void run(ConfigWorld world, int index) {
        world.setDown(true);
      }
    },
    UP {
      @Override
      void run(ConfigWorld world, int index) {
        world.setDown(false);
      }
    },
    RESTART {
      @Override
      void run(ConfigWorld world, int index) {
        world.restart(index);
      }
    },
    DROP {
      @Override
      void run(ConfigWorld world, int index) {
        world.dropMessage(index);
      }
    },
    TICK {
      @Override
      void run(ConfigWorld world, int index) {
        world.advance(index, 300);
      }
    },
    RUN_JOB {
      @Override
      void run(ConfigWorld world, int index) {
        world.runJob(index);
      }
    },
    PUSH {
      @Override
      void run(ConfigWorld world, int index) {
        world.push(index);
      }
    },
    RECEIVE {
      @Override
      void run(ConfigWorld world, int index) {
        world.receive(index);
      }
    };

    abstract void run(ConfigWorld world, int index);
  }

  private record Step(Op op, int index) {}

  @Property(tries = 600, seed = "20261204")
  void generationsGrowAndTheNewestEditPrevails(@ForAll("chains") ActionChain<ConfigWorld> chain) {
    ConfigWorld world = chain.run();
    world.settle();
  }

  @Example
  void anOlderGenerationIsIgnored() {
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
  Arbitrary<ActionChain<ConfigWorld>> chains() {
    return ActionChain.startWith(ConfigWorld::new)
        .withAction(new AnyStep())
        .withMaxTransformations(160);
  }

  private static final class AnyStep implements Action.Independent<ConfigWorld> {
    @Override
    public Arbitrary<Transformer<ConfigWorld>> transformer() {
      Arbitrary<Op> ops =
          Arbitraries.frequency(
              Tuple.of(9, Op.RUN_JOB),
              Tuple.of(4, Op.PUSH),
              Tuple.of(7, Op.RECEIVE),
              Tuple.of(6, Op.TICK),
              Tuple.of(2, Op.EDIT_VALID),
              Tuple.of(1, Op.EDIT_INVALID),
              Tuple.of(1, Op.TOGGLE_MARK),
              Tuple.of(1, Op.LOSE_ANSWER),
              Tuple.of(1, Op.DOWN),
              Tuple.of(1, Op.UP),
              Tuple.of(1, Op.RESTART),
              Tuple.of(1, Op.DROP));
      Arbitrary<Integer> indexes = Arbitraries.integers().between(0, ConfigWorld.DAEMONS - 1);
      return Combinators.combine(ops, indexes)
          .as(Step::new)
          .map(
              step ->
                  Transformer.mutate(
                      step.toString(),
                      world -> {
                        step.op().run(world, step.index());
                        world.check();
                      }));
    }
  }
}
