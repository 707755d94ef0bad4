package org.limpetring.store.http;

import com.fasterxml.jackson.databind.JsonNode;

/** How one HTTP exchange with the platform ended. */
sealed interface HttpAnswer {

  /** A whole answer arrived; {@code body} is a missing node where it was not JSON. */
  record Answered(int status, JsonNode body) implements HttpAnswer {}

  /** No byte of the call was sent. */
  record NotSent(String reason) implements HttpAnswer {}

  /** The call may have been sent and its answer did not arrive whole. */
  record Lost(String reason) implements HttpAnswer {}
}
