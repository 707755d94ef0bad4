package org.limpetring.daemon.caller;

import java.io.IOException;
import org.limpetring.base.RunState;
import org.limpetring.routing.request.RequestEvent;

/** Claims the keys of non-idempotent requests; blocks the calling thread. */
public interface Claims {

  /** Claims a key for one request; the event is a grant, a denial or a replay. */
  RequestEvent claim(String key, CallerRequest request, long deadlineAtMs);

  /** Records the outcome of the claimed key and stores a complete response for retries. */
  void settle(String key, CallerRequest request, RunState runState, CallerResponse response);

  /** Sends the stored response to the earlier request with the same key. */
  void replay(String key, CallerRequest request, CallerResponse response) throws IOException;
}
