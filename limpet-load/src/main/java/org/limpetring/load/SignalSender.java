package org.limpetring.load;

import java.io.IOException;

/** Sends a signal to a process of the system under test. */
@FunctionalInterface
interface SignalSender {

  /** Sends {@code signal}, such as {@code KILL}, to the process named {@code process}. */
  void send(String signal, String process) throws IOException;
}
