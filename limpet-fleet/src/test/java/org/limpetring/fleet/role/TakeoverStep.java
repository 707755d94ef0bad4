package org.limpetring.fleet.role;

import java.util.SplittableRandom;

/** One fault or one stretch of time in a history of takeovers. */
record TakeoverStep(Kind kind, int first, int second, int amount) {

  static final int MAX_NUMBER = 12;

  /** What happens in the step. */
  enum Kind {
    ADVANCE {
      @Override
      void run(TakeoverWorld world, TakeoverStep step) {
        world.advance(step.amount * 200);
      }
    },
    ADVANCE_LONG {
      @Override
      void run(TakeoverWorld world, TakeoverStep step) {
        world.advance(step.amount * 600);
      }
    },
    PAUSE {
      @Override
      void run(TakeoverWorld world, TakeoverStep step) {
        world.pause(step.first, true);
      }
    },
    RESUME {
      @Override
      void run(TakeoverWorld world, TakeoverStep step) {
        world.pause(step.first, false);
      }
    },
    KILL {
      @Override
      void run(TakeoverWorld world, TakeoverStep step) {
        world.kill(step.first);
      }
    },
    CUT {
      @Override
      void run(TakeoverWorld world, TakeoverStep step) {
        world.cut(step.first, step.second, true);
      }
    },
    JOIN_UP {
      @Override
      void run(TakeoverWorld world, TakeoverStep step) {
        world.cut(step.first, step.second, false);
      }
    },
    SPLIT {
      @Override
      void run(TakeoverWorld world, TakeoverStep step) {
        world.split(step.first, step.amount % 2 == 0, step.amount % 3 == 0);
      }
    },
    CUT_PLATFORM {
      @Override
      void run(TakeoverWorld world, TakeoverStep step) {
        world.cutPlatform(step.first, true);
      }
    },
    REACH_PLATFORM {
      @Override
      void run(TakeoverWorld world, TakeoverStep step) {
        world.cutPlatform(step.first, false);
      }
    },
    PLATFORM_DOWN {
      @Override
      void run(TakeoverWorld world, TakeoverStep step) {
        world.setPlatformDown(true);
      }
    },
    PLATFORM_UP {
      @Override
      void run(TakeoverWorld world, TakeoverStep step) {
        world.setPlatformDown(false);
      }
    },
    BAD_NETWORK {
      @Override
      void run(TakeoverWorld world, TakeoverStep step) {
        world.setBadNetwork(true);
      }
    },
    GOOD_NETWORK {
      @Override
      void run(TakeoverWorld world, TakeoverStep step) {
        world.setBadNetwork(false);
      }
    },
    EVICT {
      @Override
      void run(TakeoverWorld world, TakeoverStep step) {
        world.evict(step.first, step.second, 1);
      }
    },
    EVICT_MANY {
      @Override
      void run(TakeoverWorld world, TakeoverStep step) {
        world.evict(step.first, step.second, step.amount);
      }
    },
    JOIN {
      @Override
      void run(TakeoverWorld world, TakeoverStep step) {
        world.join();
      }
    },
    LEAVE {
      @Override
      void run(TakeoverWorld world, TakeoverStep step) {
        world.leave(step.first);
      }
    };

    abstract void run(TakeoverWorld world, TakeoverStep step);
  }

  /** A step drawn from {@code random}; time passes in a third of all steps. */
  static TakeoverStep draw(SplittableRandom random) {
    Kind[] kinds = Kind.values();
    Kind kind = kinds[random.nextInt(kinds.length)];
    switch (random.nextInt(6)) {
      case 0, 1 -> kind = Kind.ADVANCE;
      case 2 -> kind = random.nextBoolean() ? Kind.EVICT : Kind.SPLIT;
      default -> {}
    }
    return new TakeoverStep(
        kind, random.nextInt(MAX_NUMBER), random.nextInt(MAX_NUMBER), 1 + random.nextInt(6));
  }

  void run(TakeoverWorld world) {
    kind.run(world, this);
  }
}
