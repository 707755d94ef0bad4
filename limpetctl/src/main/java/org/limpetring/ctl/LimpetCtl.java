package org.limpetring.ctl;

/** Entry point. */
public final class LimpetCtl {

  private LimpetCtl() {}

  /** Runs the program. */
  public static void main(String[] arguments) {
    System.exit(0);
  }
}
