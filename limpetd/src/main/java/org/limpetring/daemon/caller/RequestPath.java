package org.limpetring.daemon.caller;

import java.io.IOException;
import org.limpetring.tables.AcceptedConfig;

/** Carries one caller's request to its end on the calling thread. */
public interface RequestPath {

  /** Configuration that requests are judged by now. */
  AcceptedConfig config();

  /**
   * Serves one request and writes its whole answer or its error.
   *
   * @throws IOException if the caller left, or to break off an answer that has begun
   */
  void serve(CallerRequest request, CallerAnswer answer) throws IOException;
}
