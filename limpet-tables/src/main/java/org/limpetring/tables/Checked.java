package org.limpetring.tables;

import java.util.List;

/** Result of reading something an operator wrote. */
public sealed interface Checked<T> {

  /** No mistake was found. */
  record Valid<T>(T value) implements Checked<T> {}

  /** At least one mistake was found; all that were found are listed. */
  record Invalid<T>(List<TableMistake> mistakes) implements Checked<T> {

    /** Copies the list, which must not be empty. */
    public Invalid {
      mistakes = List.copyOf(mistakes);
      if (mistakes.isEmpty()) {
        throw new IllegalArgumentException("no mistake given");
      }
    }
  }
}
