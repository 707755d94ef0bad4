package org.limpetring.entry.net;

/**
 * Limit of the response bytes that a daemon buffers for all requests together.
 *
 * <p>Load pattern: many upstreams in trouble send bodies without end at the same time; each body is
 * within its own limit, but together they would fill the heap and end the process.
 */
public final class BufferBudget {

  private final long limitBytes;
  private long usedBytes;

  /** Creates a budget with nothing in use. */
  public BufferBudget(long limitBytes) {
    this.limitBytes = limitBytes;
  }

  /** Reserves bytes; returns false and reserves nothing if the limit would be exceeded. */
  public boolean tryReserve(int bytes) {
    if (usedBytes + bytes > limitBytes) {
      return false;
    }
    usedBytes += bytes;
    return true;
  }

  /** Returns reserved bytes. */
  public void release(int bytes) {
    usedBytes -= bytes;
    if (usedBytes < 0) {
      throw new IllegalStateException("released more bytes than were reserved");
    }
  }

  /** Returns the bytes in use. */
  public long usedBytes() {
    return usedBytes;
  }
}
