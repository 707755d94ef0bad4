package org.limpetring.entry.port;

/**
 * Position in the history of the platform's store.
 *
 * <p>A store that comes back from an older copy assigns revisions again, and its era increases by
 * one. So a revision says something only within its era: the era is compared first, here and
 * nowhere else.
 *
 * @param era how many times the store has come back from a copy; 0 if it does not say
 * @param revision revision within the era
 */
public record StorePosition(long era, long revision) implements Comparable<StorePosition> {

  /** Before every change. */
  public static final StorePosition ZERO = new StorePosition(0, 0);

  @Override
  public int compareTo(StorePosition other) {
    int byEra = Long.compare(era, other.era);
    return byEra != 0 ? byEra : Long.compare(revision, other.revision);
  }

  /** Whether this position comes after the other one. */
  public boolean isAfter(StorePosition other) {
    return compareTo(other) > 0;
  }

  /** Whether this position comes before the other one. */
  public boolean isBefore(StorePosition other) {
    return compareTo(other) < 0;
  }

  /** The later one of two positions. */
  public static StorePosition max(StorePosition one, StorePosition other) {
    return one.isAfter(other) ? one : other;
  }
}
