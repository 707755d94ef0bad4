package org.limpetring.standin.http;

import java.io.IOException;

/** Answers the requests of one endpoint; may block the calling thread. */
@FunctionalInterface
public interface Service {

  /**
   * Answers one request.
   *
   * @throws IOException when the connection broke; it is then closed without an answer
   */
  void handle(Exchange exchange) throws IOException;
}
