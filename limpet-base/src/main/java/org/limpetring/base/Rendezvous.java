package org.limpetring.base;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import net.openhft.hashing.LongHashFunction;

/**
 * Decides which of several holders owns a key, by highest random weight.
 *
 * <p>Thaler and Ravishankar, "Using name-based mappings to increase hit rates", 1998: a change of
 * one holder moves only the keys of that holder.
 */
public final class Rendezvous {

  private static final LongHashFunction HASH = LongHashFunction.xx3();

  private Rendezvous() {}

  /** The first {@code count} holders of {@code key}, strongest first; fewer if there are fewer. */
  public static <T extends Comparable<T>> List<T> owners(
      String key, Collection<T> holders, int count) {
    List<T> sorted = new ArrayList<>(holders);
    Comparator<T> byWeight = Comparator.comparingLong(holder -> weight(key, holder.toString()));
    sorted.sort(byWeight.reversed().thenComparing(Comparator.naturalOrder()));
    return List.copyOf(sorted.subList(0, Math.min(count, sorted.size())));
  }

  private static long weight(String key, String holder) {
    return HASH.hashChars(key + '\n' + holder);
  }
}
