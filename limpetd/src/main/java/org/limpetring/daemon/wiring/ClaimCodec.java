package org.limpetring.daemon.wiring;

import org.limpetring.base.ResultCode;
import org.limpetring.peer.proto.ClaimRequest.Kind;
import org.limpetring.peer.proto.ClaimResponse;
import org.limpetring.peer.proto.Envelope;
import org.limpetring.routing.claim.ClaimDecision;
import org.limpetring.routing.claim.ClaimId;
import org.limpetring.routing.claim.ClaimRequest;
import org.limpetring.routing.claim.ClaimSettlement;

/** Peer messages for claims; a malformed one causes an {@link IllegalArgumentException}. */
final class ClaimCodec {

  private ClaimCodec() {}

  static Envelope encodeClaim(ClaimRequest request, long timeoutMs) {
    return Envelope.newBuilder()
        .setClaimRequest(
            org.limpetring.peer.proto.ClaimRequest.newBuilder()
                .setKind(Kind.CLAIM)
                .setClaim(request.id().value())
                .setRequestDigest(request.requestDigest())
                .setAttempt(request.attempt())
                .setKeyTimeMs(request.keyTimeMs())
                .setTimeoutMs(timeoutMs))
        .build();
  }

  static ClaimRequest decodeClaim(org.limpetring.peer.proto.ClaimRequest message) {
    return new ClaimRequest(
        new ClaimId(message.getClaim()),
        message.getKeyTimeMs(),
        message.getAttempt(),
        message.getRequestDigest());
  }

  static Envelope encodeSettlement(ClaimSettlement settlement) {
    return Envelope.newBuilder()
        .setClaimRequest(
            org.limpetring.peer.proto.ClaimRequest.newBuilder()
                .setKind(Kind.SETTLE)
                .setClaim(settlement.id().value())
                .setAttempt(settlement.attempt())
                .setRunState(settlement.runState().name()))
        .build();
  }

  static Envelope encodeDecision(ClaimDecision decision) {
    ClaimResponse.Builder response = ClaimResponse.newBuilder();
    if (decision instanceof ClaimDecision.Denied denied) {
      response.setResultCode(denied.code().number());
    } else {
      response.setGranted(true);
    }
    return Envelope.newBuilder().setClaimResponse(response).build();
  }

  static ClaimDecision decodeDecision(ClaimResponse response) {
    if (response.getGranted()) {
      return new ClaimDecision.Granted();
    }
    for (ResultCode code : ResultCode.values()) {
      if (code.number() == response.getResultCode() && code != ResultCode.OK) {
        return new ClaimDecision.Denied(code);
      }
    }
    return new ClaimDecision.Denied(ResultCode.CLAIM_UNAVAILABLE);
  }
}
