package org.limpetring.base;

/**
 * Finds the status line of an HTTP/1 response within a line of another one.
 *
 * <p>Such a line is the sign of a response that broke off in the middle of a line of its head, with
 * the next response right behind it.
 */
public final class StatusLines {

  private static final String VERSION = "HTTP/1.";

  /** Length of a status line up to the status: protocol, version and a space. */
  private static final int STATUS_OFFSET = "HTTP/1.1 ".length();

  private static final int STATUS_DIGITS = 3;

  private StatusLines() {}

  /** Whether a protocol version and a status stand anywhere in the text. */
  public static boolean isIn(String text) {
    int at = text.indexOf(VERSION);
    while (at >= 0) {
      if (isStatus(text, at + STATUS_OFFSET)) {
        return true;
      }
      at = text.indexOf(VERSION, at + 1);
    }
    return false;
  }

  private static boolean isStatus(String text, int from) {
    int end = from + STATUS_DIGITS;
    if (end > text.length() || text.charAt(from - 1) != ' ') {
      return false;
    }
    for (int i = from; i < end; i++) {
      if (!Character.isDigit(text.charAt(i))) {
        return false;
      }
    }
    return true;
  }
}
