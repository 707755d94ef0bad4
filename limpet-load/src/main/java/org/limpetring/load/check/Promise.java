package org.limpetring.load.check;

import java.util.List;

/**
 * Result of the check of one promise.
 *
 * @param checked cases that were looked at
 * @param violations cases that broke the promise
 * @param figure measured extreme in words, or empty
 * @param examples the first few violations
 */
public record Promise(
    String name, long checked, long violations, String figure, List<String> examples) {

  /** Copies the examples. */
  public Promise {
    examples = List.copyOf(examples);
  }

  /** Whether no case broke it. */
  public boolean kept() {
    return violations == 0;
  }
}
