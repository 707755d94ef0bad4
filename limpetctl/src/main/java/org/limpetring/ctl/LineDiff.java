package org.limpetring.ctl;

import java.util.ArrayList;
import java.util.List;

/** Line diff of two texts, based on the longest common subsequence. */
final class LineDiff {

  private LineDiff() {}

  /**
   * Lines that differ: those only in {@code before} with {@code -}, only in {@code after} with
   * {@code +}.
   */
  static List<String> of(String before, String after) {
    List<String> left = before.lines().toList();
    List<String> right = after.lines().toList();
    int[][] common = commonLengths(left, right);
    List<String> lines = new ArrayList<>();
    int leftIndex = 0;
    int rightIndex = 0;
    while (leftIndex < left.size() || rightIndex < right.size()) {
      if (leftIndex < left.size()
          && rightIndex < right.size()
          && left.get(leftIndex).equals(right.get(rightIndex))) {
        leftIndex++;
        rightIndex++;
      } else if (rightIndex == right.size()
          || (leftIndex < left.size()
              && common[leftIndex + 1][rightIndex] >= common[leftIndex][rightIndex + 1])) {
        lines.add("- " + left.get(leftIndex));
        leftIndex++;
      } else {
        lines.add("+ " + right.get(rightIndex));
        rightIndex++;
      }
    }
    return lines;
  }

  private static int[][] commonLengths(List<String> left, List<String> right) {
    int[][] lengths = new int[left.size() + 1][right.size() + 1];
    for (int row = left.size() - 1; row >= 0; row--) {
      for (int column = right.size() - 1; column >= 0; column--) {
        lengths[row][column] =
            left.get(row).equals(right.get(column))
                ? lengths[row + 1][column + 1] + 1
                : Math.max(lengths[row + 1][column], lengths[row][column + 1]);
      }
    }
    return lengths;
  }
}
