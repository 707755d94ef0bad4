package org.limpetring.daemon.caller;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import org.limpetring.base.RequestId;
import org.limpetring.base.ResultCode;
import org.limpetring.base.RunState;

/**
 * Body of an error response.
 *
 * @param code number of the result code
 * @param name name of the result code
 * @param runState whether the request ran: {@code not run}, {@code ran} or {@code unknown}
 * @param retry whether the same request may be sent again
 * @param message meaning of the code and detail, as text
 * @param request id that the daemon gave the request
 */
record ErrorBody(
    int code, String name, String runState, String retry, String message, String request) {

  private static final JsonMapper MAPPER = new JsonMapper();

  /** Body for a request that ended with {@code code}; {@code runState} covers all its tries. */
  static ErrorBody of(ResultCode code, RunState runState, String detail, RequestId request) {
    String message = detail.isEmpty() ? code.meaning() : code.meaning() + " (" + detail + ")";
    return new ErrorBody(
        code.number(),
        code.name(),
        runState.label(),
        code.retry().label(),
        message,
        request.value());
  }

  /** The body as JSON text. */
  String json() {
    try {
      return MAPPER.writeValueAsString(this);
    } catch (JsonProcessingException impossible) {
      throw new IllegalStateException(impossible);
    }
  }
}
