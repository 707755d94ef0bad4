package org.limpetring.base;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import net.openhft.hashing.LongHashFunction;

/**
 * Rendezvous (highest random weight) hashing: selects the nodes that own a key.
 *
 * <p>Thaler and Ravishankar, "Using name-based mappings to increase hit rates", 1998: adding or
 * removing one node moves only the keys of that node.
 */
public final class Rendezvous {

  private static final LongHashFunction HASH = LongHashFunction.xx3();

  private Rendezvous() {}

  /**
   * The {@code count} nodes with the highest weight for {@code key}, in descending order; all nodes
   * if there are fewer.
   */
  public static <T extends Comparable<T>> List<T> owners(
      String key, Collection<T> nodes, int count) {
    List<T> sorted = new ArrayList<>(nodes);
    sorted.sort(order(key));
    return List.copyOf(sorted.subList(0, Math.min(count, sorted.size())));
  }

  /** The place of {@code node} in the order of {@link #owners}: the number of nodes before it. */
  public static <T extends Comparable<T>> int rank(String key, Collection<T> nodes, T node) {
    long ownWeight = weight(key, node.toString());
    int before = 0;
    for (T other : nodes) {
      long otherWeight = weight(key, other.toString());
      boolean isBefore =
          otherWeight > ownWeight || (otherWeight == ownWeight && other.compareTo(node) < 0);
      before += isBefore ? 1 : 0;
    }
    return before;
  }

  private static <T extends Comparable<T>> Comparator<T> order(String key) {
    Comparator<T> byWeight = Comparator.comparingLong(node -> weight(key, node.toString()));
    return byWeight.reversed().thenComparing(Comparator.naturalOrder());
  }

  private static long weight(String key, String node) {
    return HASH.hashChars(key + '\n' + node);
  }
}
