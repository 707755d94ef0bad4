package org.limpetring.standin.host;

import java.util.ArrayList;
import java.util.List;
import org.limpetring.base.Clock;

/** Log of every request that reached a stand-in, for a checker outside of the system. */
public final class RunLog {

  private final List<Run> runs = new ArrayList<>();

  /** Notes an arrival and gives the entry to complete. */
  public synchronized Run arrived(
      String host, String request, String reference, boolean cold, int running) {
    Run run = new Run(runs.size(), host, request, reference, cold, running, Clock.wall().nowMs());
    runs.add(run);
    return run;
  }

  /** Copies up to {@code limit} entries from number {@code first} on. */
  public synchronized List<RunEntry> entries(long first, int limit) {
    int from = (int) Math.min(first, runs.size());
    int to = Math.min(runs.size(), from + limit);
    return runs.subList(from, to).stream().map(Run::entry).toList();
  }

  /** One arrival; threads of the endpoint complete it while others read it. */
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

    /** Notes that the upstream began to execute the request. */
    public synchronized void started() {
      state = RunEntry.State.RUNNING;
    }

    /** Notes how the request ended. */
    public synchronized void ended(RunEntry.State end) {
      if (endedAtMs == 0) {
        state = end;
        endedAtMs = Clock.wall().nowMs();
      }
    }

    /** Notes that the answer was cut, and why. */
    public synchronized void cut(String reason) {
      if (endedAtMs == 0) {
        detail = reason;
        ended(RunEntry.State.CUT);
      }
    }

    private synchronized RunEntry entry() {
      return new RunEntry(
          number, host, request, reference, cold, running, arrivedAtMs, endedAtMs, state, detail);
    }
  }
}
