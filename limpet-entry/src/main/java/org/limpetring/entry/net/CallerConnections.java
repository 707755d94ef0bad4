package org.limpetring.entry.net;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.limpetring.base.Clock;
import org.limpetring.entry.model.CallerLimits;
import org.limpetring.entry.model.Limits;

/**
 * All connections of callers at one address: their number, their time limits, and the memory that
 * they share with those at other addresses. Event loop only.
 */
public final class CallerConnections {

  /** What the connections of all addresses have in common. */
  public record Shared(
      BufferBudget budget,
      CallerLimits callerLimits,
      Supplier<Limits> limits,
      Clock clock,
      FaultListener faults) {}

  /** Called when a caller's request is refused or its connection closed. */
  public interface FaultListener {

    /** A fault at a connection from {@code remote}, which held {@code heldBytes}. */
    void onFault(CallerFault fault, String remote, long heldBytes);
  }

  private final Shared shared;
  private final int maxConnections;
  private final Set<CallerConnection> open = new HashSet<>();

  /** Creates an empty set of at most {@code maxConnections} connections. */
  public CallerConnections(Shared shared, int maxConnections) {
    this.shared = shared;
    this.maxConnections = maxConnections;
  }

  Shared shared() {
    return shared;
  }

  Limits limits() {
    return shared.limits().get();
  }

  long nowMs() {
    return shared.clock().nowMs();
  }

  /** Adds a connection; closes the one that is needed least if there are too many. */
  void onOpen(CallerConnection opened) {
    open.add(opened);
    if (open.size() > maxConnections) {
      CallerConnection leaving = leastNeeded(opened);
      (leaving == null ? opened : leaving).end(CallerFault.CONNECTIONS_FULL);
    }
  }

  void onClosed(CallerConnection closed) {
    open.remove(closed);
  }

  private @Nullable CallerConnection leastNeeded(CallerConnection opened) {
    CallerConnection least = null;
    int leastRank = GiveWayRule.NEVER;
    for (CallerConnection candidate : open) {
      int rank = candidate == opened ? GiveWayRule.NEVER : candidate.giveWayRank();
      boolean isEarlier =
          rank < leastRank
              || (rank == leastRank
                  && least != null
                  && candidate.lastActiveMs() < least.lastActiveMs());
      if (isEarlier) {
        least = candidate;
        leastRank = rank;
      }
    }
    return least;
  }

  /** Closes connections that are too slow. */
  public void sweep() {
    long nowMs = nowMs();
    for (CallerConnection connection : List.copyOf(open)) {
      connection.checkTime(nowMs);
    }
  }
}
