package org.limpetring.entry;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import org.limpetring.base.ResultCode;
import org.limpetring.base.RunState;

/** Metrics of the entry daemon. */
public final class EntryMetrics {

  /** Bounds of the latency histograms, in ms. */
  private static final double[] LATENCY_BOUNDS_MS = {
    25, 50, 100, 150, 200, 300, 400, 600, 1_000, 2_000, 5_000, 10_000
  };

  private final PrometheusRegistry registry = new PrometheusRegistry();
  private final Counter requests =
      Counter.builder()
          .name("limpet_entry_requests_total")
          .help("Requests ended, by result code")
          .labelNames("code")
          .register(registry);
  private final Counter retries =
      Counter.builder()
          .name("limpet_entry_repeats_total")
          .help("Sends beyond the first, by reason")
          .labelNames("reason")
          .register(registry);
  private final Counter orders =
      Counter.builder()
          .name("limpet_entry_orders_total")
          .help("Orders to engines, by order and answer")
          .labelNames("order", "answer")
          .register(registry);
  private final Counter storeCalls =
      Counter.builder()
          .name("limpet_entry_store_calls_total")
          .help("Calls to the platform's store, by call, kind of object and outcome")
          .labelNames("call", "kind", "outcome")
          .register(registry);
  private final Gauge storeEra =
      Gauge.builder()
          .name("limpet_entry_store_era")
          .help("How many times the store has come back from an older copy, as last seen")
          .register(registry);
  private final Counter outdatedStoreReplies =
      Counter.builder()
          .name("limpet_entry_outdated_store_replies_total")
          .help("Late replies of the store from before it came back from an older copy, discarded")
          .register(registry);
  private final Counter teamRequests =
      Counter.builder()
          .name("limpet_entry_team_requests_total")
          .help("Requests of each team that arrived, were refused, and were served on time or late")
          .labelNames("team", "outcome")
          .register(registry);
  private final Gauge waiting =
      Gauge.builder()
          .name("limpet_entry_waiting")
          .help("Requests that wait for a place")
          .register(registry);
  private final Gauge quarantined =
      Gauge.builder()
          .name("limpet_entry_quarantined_traits")
          .help("Traits of requests that are refused because they crashed upstreams")
          .register(registry);
  private final Gauge limitedUpstreams =
      Gauge.builder()
          .name("limpet_entry_limited_upstreams")
          .help("Upstreams that name a limit for the rate of requests")
          .register(registry);
  private final Counter limitStatements =
      Counter.builder()
          .name("limpet_entry_limit_statements_total")
          .help("Limits that upstreams named, changed or ended, and values that are no limit")
          .labelNames("kind")
          .register(registry);
  private final Gauge pacedUpstreams =
      Gauge.builder()
          .name("limpet_entry_paced_upstreams")
          .help("Upstreams that have just started or recovered and get few requests")
          .register(registry);
  private final Counter paceChanges =
      Counter.builder()
          .name("limpet_entry_pace_changes_total")
          .help("Changes of the levels of upstreams that have just started or recovered")
          .labelNames("kind")
          .register(registry);
  private final Counter interrupted =
      Counter.builder()
          .name("limpet_entry_interrupted_total")
          .help("Requests whose connection to the upstream broke, by whether a response had begun")
          .labelNames("response")
          .register(registry);
  private final Counter hostMoves =
      Counter.builder()
          .name("limpet_entry_moved_hosts_total")
          .help("Hosts that were freed for another model, by former and new model")
          .labelNames("from", "to")
          .register(registry);
  private final Counter unmet =
      Counter.builder()
          .name("limpet_entry_unmet_total")
          .help("Requests refused for want of a slot or answered late, by model and rank")
          .labelNames("model", "rank")
          .register(registry);
  private final Counter callerFaults =
      Counter.builder()
          .name("limpet_entry_caller_faults_total")
          .help("Callers' requests refused and connections closed or paused, by fault")
          .labelNames("fault")
          .register(registry);
  private final Gauge callerMemory =
      Gauge.builder()
          .name("limpet_entry_caller_memory_bytes")
          .help("Memory held for callers' requests and responses")
          .register(registry);
  private final Histogram firstEventMs =
      Histogram.builder()
          .name("limpet_entry_first_event_ms")
          .help("Time to a stream's first event")
          .classicOnly()
          .classicUpperBounds(LATENCY_BOUNDS_MS)
          .register(registry);
  private final Histogram responseMs =
      Histogram.builder()
          .name("limpet_entry_answer_ms")
          .help("Time to the whole answer")
          .classicOnly()
          .classicUpperBounds(LATENCY_BOUNDS_MS)
          .register(registry);

  /** Time to a stream's first event. */
  public Histogram firstEventMs() {
    return firstEventMs;
  }

  /** Counts a completed request. */
  public void ended(ResultCode code, long tookMs) {
    requests.labelValues(code.name()).inc();
    if (code.runState() == RunState.RAN) {
      responseMs.observe(tookMs);
    }
  }

  /** Counts a retry. */
  public void retry(String reason) {
    retries.labelValues(reason).inc();
  }

  /** Counts a request of a team, or how it ended. */
  public void teamRequest(String team, String outcome) {
    teamRequests.labelValues(team, outcome).inc();
  }

  /** Counts an order to an engine and its reply or failure. */
  public void order(String order, String reply) {
    orders.labelValues(order, reply).inc();
  }

  /** Counts a call to the store and its outcome. */
  public void storeCall(String call, String kind, String outcome) {
    storeCalls.labelValues(call, kind, outcome).inc();
  }

  /** Sets the era of the store. */
  public void storeEra(long era) {
    storeEra.set(era);
  }

  /** Counts a discarded reply of an older era. */
  public void outdatedStoreReply() {
    outdatedStoreReplies.inc();
  }

  /** Sets the number of waiting requests. */
  public void waiting(int count) {
    waiting.set(count);
  }

  /** Sets the number of quarantined traits. */
  public void quarantined(int count) {
    quarantined.set(count);
  }

  /** Sets the number of upstreams that name a limit. */
  public void limitedUpstreams(int count) {
    limitedUpstreams.set(count);
  }

  /** Counts a limit that was named, changed or ended, or a value that is no limit. */
  public void limitStatement(String kind) {
    limitStatements.labelValues(kind).inc();
  }

  /** Counts hosts that were freed for another model. */
  public void hostsMoved(String from, String to, int hosts) {
    hostMoves.labelValues(from, to).inc(hosts);
  }

  /** Counts a request that was refused for want of a slot or answered late. */
  public void unmet(String model, int rank) {
    unmet.labelValues(model, Integer.toString(rank)).inc();
  }

  /** Sets the number of upstreams that have just started or recovered. */
  public void pacedUpstreams(int count) {
    pacedUpstreams.set(count);
  }

  /** Counts a change of the level of an upstream that has just started or recovered. */
  public void paceChange(String kind) {
    paceChanges.labelValues(kind).inc();
  }

  /** Counts a request whose connection to the upstream broke. */
  public void interrupted(boolean hadBegun) {
    interrupted.labelValues(hadBegun ? "begun" : "not begun").inc();
  }

  /** Counts a fault of a caller. */
  public void callerFault(String fault) {
    callerFaults.labelValues(fault).inc();
  }

  /** Sets the memory that is held for callers. */
  public void callerMemory(long bytes) {
    callerMemory.set(bytes);
  }

  /** All metrics in the Prometheus text format. */
  public byte[] text() throws IOException {
    ByteArrayOutputStream out = new ByteArrayOutputStream(4_096);
    PrometheusTextFormatWriter.create().write(out, registry.scrape());
    return out.toByteArray();
  }
}
