package org.limpetring.daemon.caller;

import java.io.IOException;
import org.limpetring.tables.AcceptedConfig;

/** Serves one caller's request on the calling thread. */
public interface RequestPath {

  /** Accepted configuration that applies to new requests. */
  AcceptedConfig config();

  /**
   * Serves one request and writes its complete response or an error.
   *
   * @throws IOException if the caller disconnected, or to abort a response that has begun
   */
  void serve(CallerRequest request, CallerResponse response) throws IOException;
}
