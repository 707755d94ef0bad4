package org.limpetring.entry.balancing;

import static com.google.common.truth.Truth.assertThat;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

final class CallerPatienceTest {

  private final CallerPatience patience = new CallerPatience();

  /** Guards against counting nearly all new requests as retries: callers waited 5.2 to 6 s. */
  @Test
  void callersOfDifferentPatienceAreNotRetries() {
    SplittableRandom random = new SplittableRandom(3);
    int retries = 0;
    for (int i = 0; i < 1_000; i++) {
      retries += patience.isRetry("r", 5_100 + random.nextInt(900), i * 100L) ? 1 : 0;
    }
    assertThat(retries).isEqualTo(0);
  }

  @Test
  void requestWithHalfOfTheUsualTimeIsARetry() {
    assertThat(patience.isRetry("r", 6_000, 0)).isFalse();
    assertThat(patience.isRetry("r", 3_000, 100)).isTrue();
    assertThat(patience.isRetry("other", 3_000, 100)).isFalse();
  }

  /** Callers that shorten their time for good are new callers after a while. */
  @Test
  void patienceOfEarlierCallersIsForgotten() {
    assertThat(patience.isRetry("r", 6_000, 0)).isFalse();
    assertThat(patience.isRetry("r", 3_000, 9_000)).isTrue();
    assertThat(patience.isRetry("r", 3_000, 15_000)).isTrue();
    assertThat(patience.isRetry("r", 3_000, 30_000)).isFalse();
    patience.forgetBefore(60_000);
    assertThat(patience.isRetry("r", 1_000, 60_000)).isFalse();
  }
}
