package org.limpetring.routing.claim;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.limpetring.base.CallerId;
import org.limpetring.base.ResultCode;
import org.limpetring.store.ObjectStore;

final class ClaimMachineTest {

  private static final int STEPS = 400;

  @Property(tries = 4_000, seed = "2")
  void eachKeyRunsAtMostOnce(@ForAll long seed) {
    ClaimWorld world = new ClaimWorld(new SplittableRandom(seed));
    world.play(STEPS);
    assertWithMessage("runs by key").that(maxRunsPerKey(world)).isAtMost(1);
  }

  @Test
  void randomHistoriesGrantAndDeny() {
    int grants = 0;
    int denials = 0;
    for (int seed = 0; seed < 200; seed++) {
      ClaimWorld world = new ClaimWorld(new SplittableRandom(seed));
      world.play(STEPS);
      grants += world.grants;
      denials += world.notRunDenials;
    }
    assertThat(grants).isGreaterThan(200);
    assertThat(denials).isGreaterThan(200);
  }

  @Test
  void fullShardFitsTheValueLimitAndDeniesMoreClaims() {
    ShardImage image = new ShardImage();
    for (int number = 0; number < ShardImage.MAX_KEYS; number++) {
      image.add(requestOfMaxLength(number));
    }
    String text = image.encode();
    assertThat(text.length()).isLessThan(ObjectStore.MAX_VALUE_BYTES);
    assertThat(ShardImage.decode(text).encode()).isEqualTo(text);

    ClaimMachine machine = new ClaimMachine(ClaimSettings.DEFAULT);
    long wallMs = requestOfMaxLength(0).keyTimeMs();
    List<ClaimEffect> effects = new ArrayList<>();
    effects.addAll(
        machine.on(
            new ClaimEvent.Requested(requestOfMaxLength(ShardImage.MAX_KEYS), 1_000), 0, wallMs));
    effects.addAll(machine.on(new ClaimEvent.Loaded(text, 7), 1, wallMs));
    effects.addAll(machine.on(new ClaimEvent.Tick(), 50, wallMs));
    assertThat(effects)
        .contains(
            new ClaimEffect.Respond(
                requestOfMaxLength(ShardImage.MAX_KEYS).attempt(),
                new ClaimDecision.Denied(ResultCode.CLAIM_UNAVAILABLE)));
  }

  @Test
  void keyCarriesItsCreationTimeAndBelongsToItsCaller() {
    IdempotencyKey key = IdempotencyKey.of(1_700_000_000_123L, 5, 6);
    assertThat(IdempotencyKey.parse(key.value().toString()).orElseThrow().timeMs())
        .isEqualTo(1_700_000_000_123L);
    assertThat(IdempotencyKey.parse("order-17")).isEmpty();
    assertThat(IdempotencyKey.parse("8f14e45f-ceea-467f-a0e6-3b1e5c9a7d11")).isEmpty();
    assertThat(ClaimId.of(new CallerId("a"), key)).isNotEqualTo(ClaimId.of(new CallerId("b"), key));
  }

  private static int maxRunsPerKey(ClaimWorld world) {
    return world.runs.values().stream().mapToInt(Integer::intValue).max().orElse(0);
  }

  private static ClaimRequest requestOfMaxLength(int number) {
    String token = String.format("%024d", number);
    return new ClaimRequest(new ClaimId(token), 1_700_000_000_000L, token, "12345678901");
  }
}
