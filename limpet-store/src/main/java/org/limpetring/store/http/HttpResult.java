package org.limpetring.store.http;

import com.fasterxml.jackson.databind.JsonNode;

/** Outcome of one HTTP exchange with the platform. */
sealed interface HttpResult {

  /** A complete response arrived; {@code body} is a missing node if it was not JSON. */
  record Answered(int status, JsonNode body) implements HttpResult {}

  /** No byte of the request was sent. */
  record NotSent(String reason) implements HttpResult {}

  /** The request may have been sent, but no complete response arrived. */
  record Lost(String reason) implements HttpResult {}
}
