package org.limpetring.groups.world;

import java.util.List;
import org.limpetring.store.WeightStore;

/** Weight store whose bandwidth is shared by the loading hosts. */
final class FakeWeightStore {

  static final String MODEL = "m1";

  final long loadMs;
  final long rejoinMs;
  final int loadsAtOnce;

  FakeWeightStore(long loadMs, long rejoinMs, int loadsAtOnce) {
    this.loadMs = loadMs;
    this.rejoinMs = rejoinMs;
    this.loadsAtOnce = loadsAtOnce;
  }

  /** Fraction of the full rate that each of {@code loading} hosts gets. */
  double rateShare(int loading) {
    return loading <= loadsAtOnce ? 1.0 : (double) loadsAtOnce / loading;
  }

  WeightStore.Result.Limits limits() {
    return new WeightStore.Result.Limits(
        loadsAtOnce, List.of(new WeightStore.ModelWeights(MODEL, "1", loadMs)));
  }
}
