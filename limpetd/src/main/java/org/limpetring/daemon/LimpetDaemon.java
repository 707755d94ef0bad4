package org.limpetring.daemon;

/** Entry point. */
public final class LimpetDaemon {

  private LimpetDaemon() {}

  /** Runs the program. */
  public static void main(String[] arguments) {
    System.exit(0);
  }
}
