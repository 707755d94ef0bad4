package org.limpetring.routing.claim;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/**
 * Measures claims in simulated time, with open-loop arrivals and a platform that takes a fixed time
 * per call.
 *
 * <p>Arguments: {@code <seed> <claims per second> <seconds>}. Prints platform writes and reads per
 * 1,000 claims, the numbers granted and denied, and the latency, for group commit and for one write
 * per claim.
 */
public final class ClaimRates {

  private static final long CALL_MS = 5;
  private static final long TIMEOUT_MS = 500;
  private static final long WALL_MS = 1_700_000_000_000L;

  private record Due(long atMs, int shard, ClaimEvent event) {}

  private final ClaimMachine[] machines = new ClaimMachine[ClaimId.SHARD_COUNT];
  private final String[] stored = new String[ClaimId.SHARD_COUNT];
  private final long[] versions = new long[ClaimId.SHARD_COUNT];
  private final PriorityQueue<Due> queue =
      new PriorityQueue<>((a, b) -> Long.compare(a.atMs(), b.atMs()));
  private final Map<String, Long> requestedMs = new HashMap<>();
  private final List<Long> latenciesMs = new ArrayList<>();
  private int reads;
  private int writes;
  private int denied;
  private int largestBytes;

  private ClaimRates() {}

  /** Runs the measurement. */
  public static void main(String[] arguments) {
    long seed = arguments.length > 0 ? Long.parseLong(arguments[0]) : 1;
    int perSecond = arguments.length > 1 ? Integer.parseInt(arguments[1]) : 1_000;
    int seconds = arguments.length > 2 ? Integer.parseInt(arguments[2]) : 10;
    new ClaimRates().run(seed, perSecond, seconds);
  }

  private void run(long seed, int perSecond, int seconds) {
    SplittableRandom random = new SplittableRandom(seed);
    for (int shard = 0; shard < machines.length; shard++) {
      machines[shard] = new ClaimMachine(ClaimSettings.DEFAULT);
    }
    int claims = 0;
    long startedNs = System.nanoTime();
    for (long nowMs = 0; nowMs < seconds * 1_000L; nowMs++) {
      int arrivals = arrivals(random, perSecond / 1_000.0);
      for (int arrival = 0; arrival < arrivals; arrival++) {
        requestClaim(random, nowMs, claims++);
      }
      while (!queue.isEmpty() && queue.peek().atMs() <= nowMs) {
        Due due = queue.remove();
        feed(due.shard(), due.event(), nowMs);
      }
      for (int shard = 0; shard < machines.length; shard++) {
        feed(shard, new ClaimEvent.Tick(), nowMs);
      }
    }
    double spentMs = (System.nanoTime() - startedNs) / 1e6;
    Collections.sort(latenciesMs);
    System.out.printf(
        "seed %d: %d claims at %d/s, granted %d, refused %d, open %d%n",
        seed, claims, perSecond, latenciesMs.size(), denied, requestedMs.size());
    System.out.printf(
        "group commit: %.1f writes and %.1f reads per 1,000 claims, %.0f writes/s;"
            + " latency p50 %d ms, p99 %d ms; largest object %d bytes; %.1f us CPU a claim%n",
        writes * 1_000.0 / claims,
        reads * 1_000.0 / claims,
        (double) writes / seconds,
        percentile(0.50),
        percentile(0.99),
        largestBytes,
        spentMs * 1_000 / claims);
    System.out.printf(
        "one write a claim: 1000.0 writes per 1,000 claims, %d writes/s%n", perSecond);
  }

  private void requestClaim(SplittableRandom random, long nowMs, int number) {
    IdempotencyKey key =
        IdempotencyKey.of(WALL_MS + nowMs - 20, random.nextLong(), random.nextLong());
    ClaimId id = ClaimId.of(new org.limpetring.base.CallerId("team"), key);
    ClaimRequest request = new ClaimRequest(id, key.timeMs(), "a" + number, "12345678901");
    requestedMs.put(request.attempt(), nowMs);
    feed(id.shard(), new ClaimEvent.Requested(request, nowMs + TIMEOUT_MS), nowMs);
  }

  private void feed(int shard, ClaimEvent event, long nowMs) {
    for (ClaimEffect effect : machines[shard].on(event, nowMs, WALL_MS + nowMs)) {
      if (effect instanceof ClaimEffect.Load) {
        reads++;
        String text = stored[shard] == null ? "" : stored[shard];
        queue.add(new Due(nowMs + CALL_MS, shard, new ClaimEvent.Loaded(text, versions[shard])));
      } else if (effect instanceof ClaimEffect.Write write) {
        writes++;
        stored[shard] = write.text();
        largestBytes = Math.max(largestBytes, write.text().length());
        versions[shard]++;
        queue.add(new Due(nowMs + CALL_MS, shard, new ClaimEvent.Written(versions[shard])));
      } else if (effect instanceof ClaimEffect.Respond respond) {
        finish(respond, nowMs);
      }
    }
  }

  private void finish(ClaimEffect.Respond respond, long nowMs) {
    long requestedAtMs = requestedMs.remove(respond.attempt());
    if (respond.decision() instanceof ClaimDecision.Granted) {
      latenciesMs.add(nowMs - requestedAtMs);
    } else {
      denied++;
    }
  }

  private long percentile(double share) {
    return latenciesMs.isEmpty() ? -1 : latenciesMs.get((int) (share * (latenciesMs.size() - 1)));
  }

  private static int arrivals(SplittableRandom random, double mean) {
    double limit = Math.exp(-mean);
    int count = 0;
    for (double product = random.nextDouble(); product > limit; product *= random.nextDouble()) {
      count++;
    }
    return count;
  }
}
