package org.limpetring.load.check;

import java.util.ArrayList;
import java.util.List;

/** Counts the cases and violations of one guarantee. */
final class ViolationCounter {

  private static final int MAX_EXAMPLES = 5;

  private final String name;
  private final List<String> examples = new ArrayList<>();
  private long checked;
  private long violations;

  ViolationCounter(String name) {
    this.name = name;
  }

  void check(boolean holds, String example) {
    checked++;
    if (holds) {
      return;
    }
    violations++;
    if (examples.size() < MAX_EXAMPLES) {
      examples.add(example);
    }
  }

  GuaranteeResult result(String figure) {
    return new GuaranteeResult(name, checked, violations, figure, examples);
  }
}
