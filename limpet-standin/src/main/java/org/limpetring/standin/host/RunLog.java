package org.limpetring.standin.host;

import java.util.ArrayList;
import java.util.List;
import org.limpetring.base.Clock;

/** Log of every request that reached a stand-in, for a checker outside the system under test. */
public final class RunLog {

  private final List<Run> runs = new ArrayList<>();

  /** Adds an entry for a request on arrival and returns it for completion. */
  public synchronized Run recordArrival(
      String host, String request, String reference, boolean cold, int running) {
    Run run = new Run(runs.size(), host, request, reference, cold, running, Clock.wall().nowMs());
    runs.add(run);
    return run;
  }

  /** Copies up to {@code limit} entries, starting at number {@code first}. */
  public synchronized List<RunEntry> entries(long first, int limit) {
    int from = (int) Math.min(first, runs.size());
    int to = Math.min(runs.size(), from + limit);
    return runs.subList(from, to).stream().map(Run::snapshot).toList();
  }

  /** Mutable entry; thread-safe, as it is read while the endpoint's threads complete it. */
  public static final class Run {

    private final long number;
    private final String host;
    private final String request;
    private final String reference;
    private final boolean cold;
    private final int running;
    private final long arrivedAtMs;
    private RunEntry.State state = RunEntry.State.WAITING;
    private long endedAtMs;
    private String detail = "";

    private Run(
        long number,
        String host,
        String request,
        String reference,
        boolean cold,
        int running,
        long arrivedAtMs) {
      this.number = number;
      this.host = host;
      this.request = request;
      this.reference = reference;
      this.cold = cold;
      this.running = running;
      this.arrivedAtMs = arrivedAtMs;
    }

    /** Marks the request as being executed. */
    public synchronized void markStarted() {
      state = RunEntry.State.RUNNING;
    }

    /** Sets the final state, unless the request has ended already. */
    public synchronized void markEnded(RunEntry.State end) {
      if (endedAtMs == 0) {
        state = end;
        endedAtMs = Clock.wall().nowMs();
      }
    }

    /** Marks the response as cut off, unless the request has ended already. */
    public synchronized void markCut(String reason) {
      if (endedAtMs == 0) {
        detail = reason;
        markEnded(RunEntry.State.CUT);
      }
    }

    private synchronized RunEntry snapshot() {
      return new RunEntry(
          number, host, request, reference, cold, running, arrivedAtMs, endedAtMs, state, detail);
    }
  }
}
