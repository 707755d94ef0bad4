package org.limpetring.load.check;

import java.util.ArrayList;
import java.util.List;

/** Counts the cases and violations of one promise. */
final class Tally {

  private static final int MAX_EXAMPLES = 5;

  private final String name;
  private final List<String> examples = new ArrayList<>();
  private long checked;
  private long violations;

  Tally(String name) {
    this.name = name;
  }

  void check(boolean kept, String example) {
    checked++;
    if (kept) {
      return;
    }
    violations++;
    if (examples.size() < MAX_EXAMPLES) {
      examples.add(example);
    }
  }

  Promise result(String figure) {
    return new Promise(name, checked, violations, figure, examples);
  }
}
