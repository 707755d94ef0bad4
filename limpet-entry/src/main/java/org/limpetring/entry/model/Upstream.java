package org.limpetring.entry.model;

import java.net.InetSocketAddress;
import org.jspecify.annotations.Nullable;

/**
 * Entry of the platform's list of upstreams.
 *
 * @param isLeaving whether it accepts no new requests
 * @param coldLeftMs remaining cold time as of the listing
 * @param startedAtMs Unix time of its start in ms; identifies the incarnation together with the id
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

  /** Returns the membership in a group, or null. */
  public @Nullable Membership membership() {
    return engine == null ? null : engine.membership();
  }

  /** Returns this entry as one that accepts no new requests. */
  public Upstream asLeaving() {
    return new Upstream(
        id, service, address, failureDomain, slots, true, coldLeftMs, startedAtMs, engine);
  }

  /** Returns an identifier of this incarnation of the upstream. */
  public String incarnation() {
    return id + "@" + startedAtMs;
  }
}
