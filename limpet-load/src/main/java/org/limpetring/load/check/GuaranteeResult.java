package org.limpetring.load.check;

import java.util.List;

/**
 * Result of the check of one guarantee. It is written as JSON under the component names.
 *
 * @param checked number of cases checked
 * @param violations number of cases that violated the guarantee
 * @param figure text with the measured extreme, or empty
 * @param examples the first few violations
 */
public record GuaranteeResult(
    String name, long checked, long violations, String figure, List<String> examples) {

  /** Copies the examples. */
  public GuaranteeResult {
    examples = List.copyOf(examples);
  }

  /** Whether no case violated the guarantee. */
  public boolean holds() {
    return violations == 0;
  }
}
