package org.limpetring.daemon.wiring;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.limpetring.base.CallerId;
import org.limpetring.base.ResultCode;
import org.limpetring.peer.proto.ClaimResponse;
import org.limpetring.routing.claim.ClaimDecision;
import org.limpetring.routing.claim.ClaimId;
import org.limpetring.routing.claim.ClaimRequest;

final class ClaimCodecTest {

  @Test
  void aWishSurvivesTheWay() {
    ClaimRequest wish =
        new ClaimRequest(ClaimId.ofOpaque(new CallerId("stores"), "k"), 17, "attempt", "digest");
    assertThat(ClaimCodec.request(ClaimCodec.claim(wish, 1_000).getClaimRequest())).isEqualTo(wish);
  }

  @Test
  void everyAnswerSurvivesTheWayAndAnUnknownOneIsNoGrant() {
    for (ResultCode code : ResultCode.values()) {
      if (code != ResultCode.OK) {
        ClaimDecision denied = new ClaimDecision.Denied(code);
        assertThat(ClaimCodec.answer(ClaimCodec.answer(denied).getClaimResponse()))
            .isEqualTo(denied);
      }
    }
    ClaimDecision granted = new ClaimDecision.Granted();
    assertThat(ClaimCodec.answer(ClaimCodec.answer(granted).getClaimResponse())).isEqualTo(granted);
    assertThat(ClaimCodec.answer(ClaimResponse.getDefaultInstance()))
        .isEqualTo(new ClaimDecision.Denied(ResultCode.CLAIM_UNAVAILABLE));
  }
}
