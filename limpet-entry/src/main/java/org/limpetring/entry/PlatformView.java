package org.limpetring.entry;

import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.limpetring.base.Clock;
import org.limpetring.base.LogEvent;
import org.limpetring.entry.model.EntryConfig;
import org.limpetring.entry.model.Upstream;
import org.limpetring.entry.port.StoredObject;
import org.limpetring.entry.port.StoredObjects;

/**
 * What the daemon believes of configuration, upstreams and failure domains that are out.
 *
 * <p>The configuration only goes forward. An upstream that vanishes from the list right after the
 * store was away is kept for a moment, since live ones list themselves again.
 */
final class PlatformView {

  /** Live upstreams are listed again within about this time of the store's return. */
  static final long RELIST_MS = 1_800;

  /** A removal this soon after trouble with the store may be a lapse of the list. */
  static final long TROUBLE_MS = 6_000;

  /** An upstream and since when it is so. */
  static final class Listed {
    final Upstream upstream;
    final long sinceMs;
    final long revision;

    /** When its removal takes hold; {@link Long#MAX_VALUE} while it is listed. */
    long removeAtMs = Long.MAX_VALUE;

    Listed(Upstream upstream, long revision, long sinceMs) {
      this.upstream = upstream;
      this.revision = revision;
      this.sinceMs = sinceMs;
    }

    /** Remaining cold time. */
    long coldLeftMs(long nowMs) {
      return Math.max(0, upstream.coldLeftMs() - (nowMs - sinceMs));
    }
  }

  /** Time for which an upstream that left the list is remembered; longer than most cuts. */
  private static final long DEPARTED_MS = 30_000;

  private record Departed(Upstream upstream, long atMs) {}

  private final Clock clock;
  private final DecisionLog log;
  private final Map<String, Listed> upstreams = new HashMap<>();
  private final Set<String> domainsOut = new HashSet<>();

  /** Upstreams that left the list lately; some of them are only cut off from the store. */
  private final Map<String, Departed> departed = new HashMap<>();

  private @Nullable EntryConfig config;

  PlatformView(Clock clock, DecisionLog log) {
    this.clock = clock;
    this.log = log;
  }

  @Nullable EntryConfig config() {
    return config;
  }

  Collection<Listed> upstreams() {
    return upstreams.values();
  }

  @Nullable Listed listed(String id) {
    return upstreams.get(id);
  }

  /** The upstream of that id, or null. */
  @Nullable Upstream upstream(String id) {
    Listed listed = upstreams.get(id);
    return listed == null ? null : listed.upstream;
  }

  /** The upstream of that id that left the list lately, or null. */
  @Nullable Upstream departed(String id) {
    Departed left = departed.get(id);
    return left == null ? null : left.upstream();
  }

  Set<String> domainsOut() {
    return Collections.unmodifiableSet(domainsOut);
  }

  /** Takes a configuration unless it is older; returns whether it is in force now. */
  boolean onConfig(EntryConfig next, long revision) {
    if (config != null && next.version() <= config.version()) {
      if (next.version() < config.version()) {
        log.write(
            LogEvent.CONFIG_OLDER_IGNORED, "version", next.version(), "inForce", config.version());
      }
      return false;
    }
    config = next;
    log.write(
        LogEvent.CONFIG_IN_FORCE,
        "version",
        next.version(),
        "revision",
        revision,
        "routes",
        next.routes().size());
    return true;
  }

  void onAllUpstreams(StoredObjects<Upstream> all, long troubledMs) {
    Set<String> named = new HashSet<>();
    for (StoredObject<Upstream> object : all.objects()) {
      if (object.value() != null) {
        named.add(object.name());
      }
      onUpstream(object, troubledMs);
    }
    for (String id : Set.copyOf(upstreams.keySet())) {
      Listed listed = upstreams.get(id);
      if (!named.contains(id) && listed != null && listed.revision <= all.revision()) {
        remove(id, troubledMs, all.revision());
      }
    }
  }

  void onUpstream(StoredObject<Upstream> object, long troubledMs) {
    Upstream next = object.value();
    if (next == null) {
      remove(object.name(), troubledMs, object.revision());
      return;
    }
    Listed before = upstreams.get(object.name());
    if (before != null && object.revision() < before.revision) {
      return;
    }
    if (before != null && before.upstream.equals(next) && before.removeAtMs == Long.MAX_VALUE) {
      return;
    }
    upstreams.put(object.name(), new Listed(next, object.revision(), clock.nowMs()));
    boolean isNews =
        before == null
            || before.upstream.isLeaving() != next.isLeaving()
            || before.upstream.startedAtMs() != next.startedAtMs();
    if (isNews) {
      log.write(
          LogEvent.UPSTREAM_LISTED,
          "upstream",
          next.id(),
          "service",
          next.service(),
          "address",
          next.address(),
          "leaving",
          next.isLeaving(),
          "fabricDomain",
          next.engine() == null ? "" : next.engine().fabricDomain(),
          "coldLeftMs",
          next.coldLeftMs(),
          "born",
          next.startedAtMs(),
          "revision",
          object.revision());
    }
  }

  private void remove(String id, long troubledMs, long revision) {
    Listed listed = upstreams.get(id);
    if (listed == null || revision < listed.revision || listed.removeAtMs != Long.MAX_VALUE) {
      return;
    }
    long nowMs = clock.nowMs();
    departed.put(id, new Departed(listed.upstream, nowMs));
    boolean mayBeLapse = nowMs - troubledMs < TROUBLE_MS;
    listed.removeAtMs = mayBeLapse ? nowMs + RELIST_MS : nowMs;
    log.write(
        LogEvent.UPSTREAM_REMOVED,
        "upstream",
        id,
        "revision",
        revision,
        "storeTroubleAgeMs",
        nowMs - troubledMs,
        "inMs",
        listed.removeAtMs - nowMs);
    if (!mayBeLapse) {
      upstreams.remove(id);
    }
  }

  /** Removes upstreams whose time is over; returns whether any was. */
  boolean removeExpired() {
    long nowMs = clock.nowMs();
    departed.values().removeIf(left -> nowMs - left.atMs() > DEPARTED_MS);
    return upstreams.values().removeIf(listed -> listed.removeAtMs <= nowMs);
  }

  void onAllDomainsOut(StoredObjects<String> all) {
    Set<String> next = new HashSet<>();
    for (StoredObject<String> object : all.objects()) {
      next.add(object.name());
    }
    for (String name : Set.copyOf(domainsOut)) {
      if (!next.contains(name)) {
        setOut(name, false, all.revision());
      }
    }
    for (String name : next) {
      setOut(name, true, all.revision());
    }
  }

  void onDomainOut(StoredObject<String> object) {
    setOut(object.name(), !object.isRemoved(), object.revision());
  }

  private void setOut(String name, boolean isOut, long revision) {
    boolean isNews = isOut ? domainsOut.add(name) : domainsOut.remove(name);
    if (isNews) {
      log.write(
          isOut ? LogEvent.DOMAIN_OUT : LogEvent.DOMAIN_IN,
          "failureDomain",
          name,
          "revision",
          revision);
    }
  }
}
