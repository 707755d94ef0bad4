package org.limpetring.fleet.role;

import java.util.SplittableRandom;

/** One fault or one period of time in a takeover history. */
record TakeoverStep(Kind kind, int first, int second, int amount) {

  static final int MAX_NUMBER = 12;

  /** Type of step. */
  enum Kind {
    ADVANCE {
      @Override
      void run(TakeoverSimulation simulation, TakeoverStep step) {
        simulation.advance(step.amount * 200);
      }
    },
    ADVANCE_LONG {
      @Override
      void run(TakeoverSimulation simulation, TakeoverStep step) {
        simulation.advance(step.amount * 600);
      }
    },
    PAUSE {
      @Override
      void run(TakeoverSimulation simulation, TakeoverStep step) {
        simulation.setPaused(step.first, true);
      }
    },
    RESUME {
      @Override
      void run(TakeoverSimulation simulation, TakeoverStep step) {
        simulation.setPaused(step.first, false);
      }
    },
    KILL {
      @Override
      void run(TakeoverSimulation simulation, TakeoverStep step) {
        simulation.kill(step.first);
      }
    },
    CUT_LINK {
      @Override
      void run(TakeoverSimulation simulation, TakeoverStep step) {
        simulation.setLinkCut(step.first, step.second, true);
      }
    },
    RESTORE_LINK {
      @Override
      void run(TakeoverSimulation simulation, TakeoverStep step) {
        simulation.setLinkCut(step.first, step.second, false);
      }
    },
    PARTITION {
      @Override
      void run(TakeoverSimulation simulation, TakeoverStep step) {
        simulation.partition(step.first, step.amount % 2 == 0, step.amount % 3 == 0);
      }
    },
    ISOLATE_FROM_PLATFORM {
      @Override
      void run(TakeoverSimulation simulation, TakeoverStep step) {
        simulation.setIsolatedFromPlatform(step.first, true);
      }
    },
    RECONNECT_TO_PLATFORM {
      @Override
      void run(TakeoverSimulation simulation, TakeoverStep step) {
        simulation.setIsolatedFromPlatform(step.first, false);
      }
    },
    PLATFORM_DOWN {
      @Override
      void run(TakeoverSimulation simulation, TakeoverStep step) {
        simulation.setPlatformDown(true);
      }
    },
    PLATFORM_UP {
      @Override
      void run(TakeoverSimulation simulation, TakeoverStep step) {
        simulation.setPlatformDown(false);
      }
    },
    DEGRADE_NETWORK {
      @Override
      void run(TakeoverSimulation simulation, TakeoverStep step) {
        simulation.setNetworkDegraded(true);
      }
    },
    RESTORE_NETWORK {
      @Override
      void run(TakeoverSimulation simulation, TakeoverStep step) {
        simulation.setNetworkDegraded(false);
      }
    },
    EVICT {
      @Override
      void run(TakeoverSimulation simulation, TakeoverStep step) {
        simulation.evict(step.first, step.second, 1);
      }
    },
    EVICT_MANY {
      @Override
      void run(TakeoverSimulation simulation, TakeoverStep step) {
        simulation.evict(step.first, step.second, step.amount);
      }
    },
    JOIN {
      @Override
      void run(TakeoverSimulation simulation, TakeoverStep step) {
        simulation.join();
      }
    },
    LEAVE {
      @Override
      void run(TakeoverSimulation simulation, TakeoverStep step) {
        simulation.leave(step.first);
      }
    };

    abstract void run(TakeoverSimulation simulation, TakeoverStep step);
  }

  /** Draws a random step; at least a third of all steps advance time. */
  static TakeoverStep draw(SplittableRandom random) {
    Kind[] kinds = Kind.values();
    Kind kind = kinds[random.nextInt(kinds.length)];
    switch (random.nextInt(6)) {
      case 0, 1 -> kind = Kind.ADVANCE;
      case 2 -> kind = random.nextBoolean() ? Kind.EVICT : Kind.PARTITION;
      default -> {}
    }
    return new TakeoverStep(
        kind, random.nextInt(MAX_NUMBER), random.nextInt(MAX_NUMBER), 1 + random.nextInt(6));
  }

  void run(TakeoverSimulation simulation) {
    kind.run(simulation, this);
  }
}
