package org.limpetring.entry.net;

import java.util.HashSet;
import java.util.Set;
import java.util.function.DoubleSupplier;
import org.jspecify.annotations.Nullable;

/**
 * Limit of the bytes that a daemon holds for all callers together: their requests, what they have
 * not read yet, and responses that are not complete.
 *
 * <p>Load pattern: many upstreams in trouble send bodies without end at the same time, or many
 * callers send requests that they don't complete; each is within its own limit, but together they
 * would fill the heap and end the process. When the limit is reached, the largest buffer gives way,
 * so that small requests and responses still pass. Accounts may weigh their bytes.
 */
public final class BufferBudget {

  private final long limitBytes;
  private final Set<Account> holders = new HashSet<>();
  private long usedBytes;

  /** Creates a budget with nothing in use. */
  public BufferBudget(long limitBytes) {
    this.limitBytes = limitBytes;
  }

  /** Returns the bytes in use. */
  public long usedBytes() {
    return usedBytes;
  }

  /**
   * Opens the account of one buffer.
   *
   * @param onEvicted called when the buffer has to give way; it must discard its bytes
   */
  public Account open(Runnable onEvicted) {
    return open(onEvicted, () -> 1);
  }

  /**
   * Opens the account of one holder, whose bytes count as often as {@code weight} says when it is
   * decided who gives way.
   */
  public Account open(Runnable onEvicted, DoubleSupplier weight) {
    return new Account(onEvicted, weight);
  }

  private @Nullable Account largestBesides(Account requester) {
    Account largest = null;
    double largestBytes = 0;
    for (Account holder : holders) {
      double weighed = holder == requester ? 0 : holder.heldBytes * holder.weight.getAsDouble();
      if (weighed > largestBytes) {
        largest = holder;
        largestBytes = weighed;
      }
    }
    return largest;
  }

  /** Bytes that one buffer holds. */
  public final class Account {

    private final Runnable onEvicted;
    private final DoubleSupplier weight;
    private long heldBytes;

    private Account(Runnable onEvicted, DoubleSupplier weight) {
      this.onEvicted = onEvicted;
      this.weight = weight;
    }

    /**
     * Sets the bytes that the buffer holds, evicting larger buffers if there is no room.
     *
     * @return false, with the held bytes unchanged, if there is no room and no buffer is larger
     */
    public boolean tryHold(long bytes) {
      while (bytes > heldBytes && usedBytes - heldBytes + bytes > limitBytes) {
        Account largest = largestBesides(this);
        if (largest == null
            || largest.heldBytes * largest.weight.getAsDouble() <= bytes * weight.getAsDouble()) {
          return false;
        }
        largest.release();
        largest.onEvicted.run();
      }
      set(bytes);
      return true;
    }

    /** Returns all bytes to the budget. */
    public void release() {
      set(0);
    }

    private void set(long bytes) {
      if (bytes == heldBytes) {
        return;
      }
      usedBytes += bytes - heldBytes;
      heldBytes = bytes;
      if (bytes > 0) {
        holders.add(this);
      } else {
        holders.remove(this);
      }
    }
  }
}
