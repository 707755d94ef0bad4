package org.limpetring.tables;

import java.util.List;

/** Result of parsing and validating operator input: the value, or all errors that were found. */
public sealed interface Validation<T> {

  /** The input is valid. */
  record Valid<T>(T value) implements Validation<T> {}

  /** The input has at least one error; all errors that were found are listed. */
  record Invalid<T>(List<ValidationError> errors) implements Validation<T> {

    /** Copies the list, which must not be empty. */
    public Invalid {
      errors = List.copyOf(errors);
      if (errors.isEmpty()) {
        throw new IllegalArgumentException("an invalid result needs at least one error");
      }
    }
  }
}
