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

/** Asks upstreams for reports in parallel, one ask at a time for each. */
final class ReportCollector {

  private final Clock clock;
  private final MemberPort port;
  private final Executor executor;
  private final long pollMs;
  private final Map<HostId, Long> askedMs = new HashMap<>();
  private final Set<HostId> inFlight = new HashSet<>();
  private final ConcurrentLinkedQueue<Answer> answers = new ConcurrentLinkedQueue<>();

  ReportCollector(Clock clock, MemberPort port, Executor executor, long pollMs) {
    this.clock = clock;
    this.port = port;
    this.executor = executor;
    this.pollMs = pollMs;
  }

  /** Starts the asks that are due. */
  void ask(Map<HostId, String> addresses) {
    long nowMs = clock.nowMs();
    addresses.forEach(
        (host, address) -> {
          @Nullable Long lastMs = askedMs.get(host);
          boolean isDue = lastMs == null || nowMs - lastMs >= pollMs;
          if (isDue && inFlight.add(host)) {
            askedMs.put(host, nowMs);
            executor.execute(() -> ask(host, address));
          }
        });
  }

  /** Answers that have come in since the last call. */
  List<Answer> take() {
    List<Answer> taken = new ArrayList<>();
    for (Answer answer = answers.poll(); answer != null; answer = answers.poll()) {
      inFlight.remove(answer.host());
      taken.add(answer);
    }
    return taken;
  }

  private void ask(HostId host, String address) {
    long sentMs = clock.nowMs();
    ReportResult result;
    try {
      result = port.report(address);
    } catch (RuntimeException failure) {
      result = new ReportResult.Missing(String.valueOf(failure.getMessage()));
    }
    answers.add(new Answer(host, result, sentMs));
  }

  /** Result of one ask. */
  record Answer(HostId host, ReportResult result, long askedMs) {}
}
