package org.limpetring.groups.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executor;
import org.jspecify.annotations.Nullable;
import org.limpetring.base.Clock;
import org.limpetring.base.HostId;
import org.limpetring.groups.MemberPort;
import org.limpetring.groups.ReportResult;

/** Polls upstreams for reports in parallel, with at most one poll in flight for each upstream. */
final class ReportPoller {

  private final Clock clock;
  private final MemberPort port;
  private final Executor executor;
  private final long pollIntervalMs;
  private final Map<HostId, Long> requestedAtMs = new HashMap<>();
  private final Set<HostId> inFlight = new HashSet<>();
  private final ConcurrentLinkedQueue<PollResult> results = new ConcurrentLinkedQueue<>();

  ReportPoller(Clock clock, MemberPort port, Executor executor, long pollIntervalMs) {
    this.clock = clock;
    this.port = port;
    this.executor = executor;
    this.pollIntervalMs = pollIntervalMs;
  }

  /** Starts the polls that are due. */
  void poll(Map<HostId, String> addresses) {
    long nowMs = clock.nowMs();
    addresses.forEach(
        (host, address) -> {
          @Nullable Long lastMs = requestedAtMs.get(host);
          boolean isDue = lastMs == null || nowMs - lastMs >= pollIntervalMs;
          if (isDue && inFlight.add(host)) {
            requestedAtMs.put(host, nowMs);
            executor.execute(() -> poll(host, address));
          }
        });
  }

  /** Returns the results received since the last call. */
  List<PollResult> drainResults() {
    List<PollResult> drained = new ArrayList<>();
    for (PollResult result = results.poll(); result != null; result = results.poll()) {
      inFlight.remove(result.host());
      drained.add(result);
    }
    return drained;
  }

  private void poll(HostId host, String address) {
    long sentMs = clock.nowMs();
    ReportResult result;
    try {
      result = port.report(address);
    } catch (RuntimeException failure) {
      result = new ReportResult.Missing(String.valueOf(failure.getMessage()));
    }
    results.add(new PollResult(host, result, sentMs));
  }

  /** Result of one poll. */
  record PollResult(HostId host, ReportResult result, long requestedAtMs) {}
}
