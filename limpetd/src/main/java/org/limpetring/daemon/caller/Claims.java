package org.limpetring.daemon.caller;

import java.io.IOException;
import org.limpetring.base.RunState;
import org.limpetring.routing.request.RequestEvent;

/** Claims the keys of non-idempotent requests; blocks the calling thread. */
public interface Claims {

  /** Claims a key for one request; the event says granted, denied or replayed. */
  RequestEvent claim(String key, CallerRequest request, long deadlineAtMs);

  /** Records what became of the claimed key and keeps a whole answer for repeats. */
  void settle(String key, CallerRequest request, RunState runState, CallerAnswer answer);

  /** Answers with the stored answer of the earlier request with the same key. */
  void replay(String key, CallerRequest request, CallerAnswer answer) throws IOException;
}
