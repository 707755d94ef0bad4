package org.limpetring.entry.model;

import java.net.InetSocketAddress;
import org.jspecify.annotations.Nullable;

/**
 * Upstream in the platform's list.
 *
 * @param isLeaving whether it takes no new work
 * @param coldLeftMs how much longer it is cold, when it was listed
 * @param startedAtMs Unix time of its start in ms; with the id it names one life
 * @param engine null for a plain service
 */
public record Upstream(
    String id,
    String service,
    InetSocketAddress address,
    String failureDomain,
    int slots,
    boolean isLeaving,
    long coldLeftMs,
    long startedAtMs,
    @Nullable EngineStatus engine) {

  /** Endpoint in a group, or null. */
  public @Nullable Membership membership() {
    return engine == null ? null : engine.membership();
  }

  /** Names one life of the upstream. */
  public String incarnation() {
    return id + "@" + startedAtMs;
  }
}
