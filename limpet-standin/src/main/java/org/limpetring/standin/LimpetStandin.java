package org.limpetring.standin;

/** Entry point. */
public final class LimpetStandin {

  private LimpetStandin() {}

  /** Runs the program. */
  public static void main(String[] arguments) {
    System.exit(0);
  }
}
