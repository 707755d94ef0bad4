package org.limpetring.entry.net;

import java.util.HashSet;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Limit of the response bytes that a daemon buffers for all requests together.
 *
 * <p>Load pattern: many upstreams in trouble send bodies without end at the same time; each body is
 * within its own limit, but together they would fill the heap and end the process. When the limit
 * is reached, the largest buffer gives way, so that small responses of sound upstreams still pass.
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
    return new Account(onEvicted);
  }

  private @Nullable Account largestBesides(Account requester) {
    Account largest = null;
    for (Account holder : holders) {
      if (holder != requester && (largest == null || holder.heldBytes > largest.heldBytes)) {
        largest = holder;
      }
    }
    return largest;
  }

  /** Bytes that one buffer holds. */
  public final class Account {

    private final Runnable onEvicted;
    private long heldBytes;

    private Account(Runnable onEvicted) {
      this.onEvicted = onEvicted;
    }

    /**
     * Sets the bytes that the buffer holds, evicting larger buffers if there is no room.
     *
     * @return false, with the held bytes unchanged, if there is no room and no buffer is larger
     */
    public boolean tryHold(long bytes) {
      while (bytes > heldBytes && usedBytes - heldBytes + bytes > limitBytes) {
        Account largest = largestBesides(this);
        if (largest == null || largest.heldBytes <= bytes) {
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
