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
  void claimRequestRoundTrips() {
    ClaimRequest request =
        new ClaimRequest(ClaimId.ofOpaque(new CallerId("stores"), "k"), 17, "attempt", "digest");
    assertThat(ClaimCodec.decodeClaim(ClaimCodec.encodeClaim(request, 1_000).getClaimRequest()))
        .isEqualTo(request);
  }

  @Test
  void everyDecisionRoundTripsAndAnUnknownOneIsDenied() {
    for (ResultCode code : ResultCode.values()) {
      if (code != ResultCode.OK) {
        ClaimDecision denied = new ClaimDecision.Denied(code);
        assertThat(ClaimCodec.decodeDecision(ClaimCodec.encodeDecision(denied).getClaimResponse()))
            .isEqualTo(denied);
      }
    }
    ClaimDecision granted = new ClaimDecision.Granted();
    assertThat(ClaimCodec.decodeDecision(ClaimCodec.encodeDecision(granted).getClaimResponse()))
        .isEqualTo(granted);
    assertThat(ClaimCodec.decodeDecision(ClaimResponse.getDefaultInstance()))
        .isEqualTo(new ClaimDecision.Denied(ResultCode.CLAIM_UNAVAILABLE));
  }
}
