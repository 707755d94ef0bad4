package org.limpetring.store;

import java.util.List;

/** Port to the platform's rate-limited store of model weights. */
public interface WeightStore {

  /** Describes the store: loads it permits at once and seconds a full load takes. */
  Result read();

  /** Result of a reading. */
  sealed interface Result {

    /**
     * Limits of the store.
     *
     * @param loadsAtOnce hosts that may fetch weights at the same time
     * @param models models on offer
     */
    record Limits(int loadsAtOnce, List<ModelWeights> models) implements Result {
      /** Copies the list. */
      public Limits {
        models = List.copyOf(models);
      }
    }

    /** The platform did not answer in time. */
    record Unavailable(String reason) implements Result {}
  }

  /** Weights of one model and the expected time for a host to fetch its part. */
  record ModelWeights(String model, String version, long loadMs) {}
}
