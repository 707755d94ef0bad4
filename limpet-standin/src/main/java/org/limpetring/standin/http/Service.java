package org.limpetring.standin.http;

import java.io.IOException;

/** Handles the requests of one endpoint; may block the calling thread. */
@FunctionalInterface
public interface Service {

  /**
   * Handles one request.
   *
   * @throws IOException if the request fails; the connection is then closed without a response
   */
  void handle(Exchange exchange) throws IOException;
}
