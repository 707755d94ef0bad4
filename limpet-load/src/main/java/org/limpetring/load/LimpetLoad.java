package org.limpetring.load;

/** Entry point. */
public final class LimpetLoad {

  private LimpetLoad() {}

  /** Runs the program. */
  public static void main(String[] arguments) {
    System.exit(0);
  }
}
