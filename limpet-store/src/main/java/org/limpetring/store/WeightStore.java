package org.limpetring.store;

import java.util.List;

/** Port to the platform's rate-limited store of model weights. */
public interface WeightStore {

  /** Reads the number of concurrent loads permitted and the expected load time of each model. */
  Result read();

  /** Result of a read. */
  sealed interface Result {

    /**
     * Limits of the store.
     *
     * @param loadsAtOnce maximum number of hosts that may fetch weights concurrently
     * @param models models whose weights are available
     */
    record Limits(int loadsAtOnce, List<ModelWeights> models) implements Result {
      /** Copies the list. */
      public Limits {
        models = List.copyOf(models);
      }
    }

    /** The read failed, for instance because the platform did not respond in time. */
    record Unavailable(String reason) implements Result {}
  }

  /** Weights of one model and the expected time for a host to fetch its part. */
  record ModelWeights(String model, String version, long loadMs) {}
}
