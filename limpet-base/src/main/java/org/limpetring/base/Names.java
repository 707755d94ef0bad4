package org.limpetring.base;

import java.util.regex.Pattern;

/** Validates identifiers. */
public final class Names {

  /** Maximum length of an identifier, in characters. */
  public static final int MAX_LENGTH = 128;

  private static final Pattern IDENTIFIER = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._:/-]*");

  private Names() {}

  /** Whether {@code value} may be used as an identifier. */
  public static boolean isValid(String value) {
    return value.length() <= MAX_LENGTH && IDENTIFIER.matcher(value).matches();
  }

  /**
   * Throws unless {@code value} may be used as an identifier.
   *
   * @throws IllegalArgumentException naming the {@code kind} of identifier
   */
  public static void check(String kind, String value) {
    if (!isValid(value)) {
      throw new IllegalArgumentException("bad " + kind + " name: '" + value + "'");
    }
  }
}
