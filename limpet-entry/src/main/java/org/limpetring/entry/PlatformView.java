package org.limpetring.entry;

import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.limpetring.base.Clock;
import org.limpetring.base.LogEvent;
import org.limpetring.entry.model.EntryConfig;
import org.limpetring.entry.model.Upstream;
import org.limpetring.entry.port.StorePosition;
import org.limpetring.entry.port.StoredObject;
import org.limpetring.entry.port.StoredObjects;

/**
 * Local view of the platform's state: configuration, upstreams, failure domains out of service.
 *
 * <p>An older configuration never replaces a newer one. The removal of an upstream soon after a
 * store outage takes effect with a delay, since live upstreams register again.
 *
 * <p>A store that comes back from an older copy shows again what this view has seen replaced. Until
 * it has been written again, what this view knows holds for a time: an upstream's later entry, and
 * the marks of failure domains that were taken out of service.
 */
final class PlatformView {

  /** Time within which live upstreams register again after the store has recovered. */
  static final long RELIST_GRACE_MS = 1_800;

  /**
   * A removal this soon after a failed store call may be an expired registration of a live host.
   */
  static final long FAILURE_WINDOW_MS = 6_000;

  /**
   * Time for which a failure domain stays out of service, or an upstream leaving, though a restored
   * store does not show it. Several times what operators and hosts need to write their objects
   * again; a domain that was put back at just that time is without work for as long.
   */
  static final long MARK_RETENTION_MS = 30_000;

  /**
   * Time for which an upstream's entry stands though a restored store shows an older one or none.
   * Live upstreams write theirs again sooner, as they do after an outage.
   */
  static final long ENTRY_RETENTION_MS = 5_000;

  /** An upstream as listed, with the time and position of its last change. */
  static final class UpstreamEntry {
    final Upstream upstream;
    final long sinceMs;
    StorePosition position;

    /** Older entry that a restored store shows and that applies later; else null. */
    @Nullable StoredObject<Upstream> restored;

    /** Position at which a restored store does not show it; null if it does. */
    @Nullable StorePosition missingAt;

    long restoredFromMs = Long.MAX_VALUE;

    /** Time at which its removal takes effect; {@link Long#MAX_VALUE} while it is listed. */
    long removeAtMs = Long.MAX_VALUE;

    UpstreamEntry(Upstream upstream, StorePosition position, long sinceMs) {
      this.upstream = upstream;
      this.position = position;
      this.sinceMs = sinceMs;
    }

    /** Remaining cold time. */
    long coldLeftMs(long nowMs) {
      return Math.max(0, upstream.coldLeftMs() - (nowMs - sinceMs));
    }
  }

  /** Number of changes in one batch up to which each gets a log line; a start brings a thousand. */
  private static final int MAX_LOGGED_UPSTREAMS = 16;

  /** Retention of upstreams that are no longer listed; longer than most network partitions. */
  private static final long DEPARTED_RETENTION_MS = 30_000;

  /** An upstream that is not listed as of a position. */
  private record Departed(Upstream upstream, StorePosition position, long atMs) {}

  private final Clock clock;
  private final DecisionLog log;
  private final Map<String, UpstreamEntry> upstreams = new HashMap<>();
  private final Set<String> domainsOut = new HashSet<>();

  /** Position of the last change of each failure domain that was ever out of service. */
  private final Map<String, StorePosition> domainPositions = new HashMap<>();

  /** Domains out of service that a restored store does not show, with the time until they are. */
  private final Map<String, Long> heldDomains = new HashMap<>();

  private @Nullable StorePosition domainsListed;

  /** Upstreams that left the list recently; some are only cut off from the store. */
  private final Map<String, Departed> departed = new HashMap<>();

  /** Incarnations that said in an answer that they leave; the list may not say so yet. */
  private final Set<String> leavingIncarnations = new HashSet<>();

  private @Nullable EntryConfig config;

  /** Earliest time at which an entry may expire; the entries are not looked at before it. */
  private long nextExpiryMs = Long.MAX_VALUE;

  PlatformView(Clock clock, DecisionLog log) {
    this.clock = clock;
    this.log = log;
  }

  @Nullable EntryConfig config() {
    return config;
  }

  Collection<UpstreamEntry> upstreams() {
    return upstreams.values();
  }

  @Nullable UpstreamEntry listed(String id) {
    return upstreams.get(id);
  }

  /** The listed upstream with the id, or null. */
  @Nullable Upstream upstream(String id) {
    UpstreamEntry listed = upstreams.get(id);
    return listed == null ? null : listed.upstream;
  }

  /** The upstream with the id that left the list recently, or null. */
  @Nullable Upstream departed(String id) {
    Departed entry = departed.get(id);
    return entry == null ? null : entry.upstream();
  }

  Set<String> domainsOut() {
    return Collections.unmodifiableSet(domainsOut);
  }

  /** Applies a configuration if it is newer than the current one; returns whether it was. */
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

  void onAllUpstreams(StoredObjects<Upstream> all, long lastFailureMs) {
    Set<String> listedIds = new HashSet<>();
    for (StoredObject<Upstream> object : all.objects()) {
      if (object.value() != null) {
        listedIds.add(object.name());
      }
    }
    onUpstreams(all, lastFailureMs);
    for (String id : Set.copyOf(upstreams.keySet())) {
      UpstreamEntry listed = upstreams.get(id);
      if (listedIds.contains(id) || listed == null || listed.position.isAfter(all.position())) {
        continue;
      }
      boolean isNotRestored =
          listed.restored == null && all.position().era() > listed.position.era();
      if (isNotRestored && listed.removeAtMs == Long.MAX_VALUE) {
        holdMissing(listed, all.position());
      } else {
        remove(id, lastFailureMs, all.position());
      }
    }
  }

  /** Applies changes; writes one line for all of them if there are many. */
  void onUpstreams(StoredObjects<Upstream> changes, long lastFailureMs) {
    int news = 0;
    for (StoredObject<Upstream> object : changes.objects()) {
      boolean isNews = onUpstream(object, lastFailureMs);
      if (isNews && ++news <= MAX_LOGGED_UPSTREAMS) {
        logListed(object);
      }
    }
    if (news > MAX_LOGGED_UPSTREAMS) {
      log.write(
          LogEvent.UPSTREAMS_LISTED,
          "changed",
          news,
          "upstreams",
          upstreams.size(),
          "revision",
          changes.revision());
    }
  }

  /** Applies a change; returns whether it is to be logged as one of a listed upstream. */
  private boolean onUpstream(StoredObject<Upstream> object, long lastFailureMs) {
    Upstream next = withLeaving(object.value());
    if (next == null) {
      remove(object.name(), lastFailureMs, object.position());
      return false;
    }
    UpstreamEntry previous = upstreams.get(object.name());
    Departed removal = departed.get(object.name());
    // stale watches return what other reads have passed
    boolean isOlder =
        (previous != null && object.position().isBefore(previous.position))
            || (removal != null && !object.position().isAfter(removal.position()));
    if (isOlder) {
      return false;
    }
    if (previous != null
        && previous.upstream.equals(next)
        && previous.removeAtMs == Long.MAX_VALUE) {
      if (object.position().era() > previous.position.era()) {
        previous.position = object.position();
        previous.restored = null;
        previous.missingAt = null;
      }
      return false;
    }
    if (previous != null && isHeldBack(previous, object, next)) {
      return false;
    }
    upstreams.put(object.name(), new UpstreamEntry(next, object.position(), clock.nowMs()));
    return previous == null
        || previous.upstream.isLeaving() != next.isLeaving()
        || previous.upstream.startedAtMs() != next.startedAtMs();
  }

  /**
   * Whether an entry is one of a restored store that was replaced before, as far as known; it
   * applies later unless the upstream writes its entry again.
   */
  private boolean isHeldBack(UpstreamEntry previous, StoredObject<Upstream> object, Upstream next) {
    StoredObject<Upstream> restored = previous.restored;
    if (restored != null) {
      return !object.position().isAfter(restored.position());
    }
    boolean mayBeReplaced =
        object.position().era() > previous.position.era()
            && object.revision() < previous.position.revision()
            && previous.missingAt == null
            && previous.removeAtMs == Long.MAX_VALUE;
    if (!mayBeReplaced || next.startedAtMs() > previous.upstream.startedAtMs()) {
      return false;
    }
    boolean isSameIncarnation = next.startedAtMs() == previous.upstream.startedAtMs();
    boolean isMarkNew = next.isLeaving() && !previous.upstream.isLeaving();
    if (isSameIncarnation && isMarkNew) {
      return false;
    }
    boolean isMarkMissing = previous.upstream.isLeaving() && !next.isLeaving();
    long heldMs = isMarkMissing ? MARK_RETENTION_MS : ENTRY_RETENTION_MS;
    previous.restored = object;
    previous.restoredFromMs = clock.nowMs() + heldMs;
    nextExpiryMs = Math.min(nextExpiryMs, previous.restoredFromMs);
    if (isMarkMissing) {
      log.write(LogEvent.MARK_HELD, "upstream", object.name(), "forMs", heldMs);
    }
    return true;
  }

  private @Nullable Upstream withLeaving(@Nullable Upstream listed) {
    return listed != null && leavingIncarnations.contains(listed.incarnation())
        ? listed.asLeaving()
        : listed;
  }

  /**
   * An upstream said in an answer that it leaves, which holds for that incarnation whatever the
   * list says; returns whether that is news.
   */
  boolean onLeaving(Upstream upstream) {
    if (!leavingIncarnations.add(upstream.incarnation())) {
      return false;
    }
    UpstreamEntry listed = upstreams.get(upstream.id());
    if (listed != null && listed.upstream.incarnation().equals(upstream.incarnation())) {
      UpstreamEntry leaving =
          new UpstreamEntry(listed.upstream.asLeaving(), listed.position, listed.sinceMs);
      leaving.restored = listed.restored;
      leaving.missingAt = listed.missingAt;
      leaving.restoredFromMs = listed.restoredFromMs;
      leaving.removeAtMs = listed.removeAtMs;
      upstreams.put(upstream.id(), leaving);
    }
    return true;
  }

  private void logListed(StoredObject<Upstream> object) {
    Upstream listed = Objects.requireNonNull(object.value());
    log.write(
        LogEvent.UPSTREAM_LISTED,
        "upstream",
        listed.id(),
        "service",
        listed.service(),
        "address",
        listed.address(),
        "leaving",
        listed.isLeaving(),
        "fabricDomain",
        listed.engine() == null ? "" : listed.engine().fabricDomain(),
        "coldLeftMs",
        listed.coldLeftMs(),
        "born",
        listed.startedAtMs(),
        "revision",
        object.revision());
  }

  /** A restored store does not show the upstream, which writes its entry again if it lives. */
  private void holdMissing(UpstreamEntry listed, StorePosition position) {
    if (listed.missingAt == null) {
      listed.missingAt = position;
      listed.restoredFromMs = clock.nowMs() + ENTRY_RETENTION_MS;
      nextExpiryMs = Math.min(nextExpiryMs, listed.restoredFromMs);
    }
  }

  private void remove(String id, long lastFailureMs, StorePosition position) {
    UpstreamEntry listed = upstreams.get(id);
    if (listed == null || listed.removeAtMs != Long.MAX_VALUE) {
      return;
    }
    StorePosition seen = listed.restored == null ? listed.position : listed.restored.position();
    if (position.isBefore(seen)) {
      return;
    }
    long nowMs = clock.nowMs();
    departed.put(id, new Departed(listed.upstream, position, nowMs));
    boolean mayBeTransient = nowMs - lastFailureMs < FAILURE_WINDOW_MS;
    listed.restored = null;
    listed.missingAt = null;
    listed.removeAtMs = mayBeTransient ? nowMs + RELIST_GRACE_MS : nowMs;
    nextExpiryMs = Math.min(nextExpiryMs, listed.removeAtMs);
    log.write(
        LogEvent.UPSTREAM_REMOVED,
        "upstream",
        id,
        "revision",
        position.revision(),
        "storeTroubleAgeMs",
        nowMs - lastFailureMs,
        "inMs",
        listed.removeAtMs - nowMs);
    if (!mayBeTransient) {
      upstreams.remove(id);
    }
  }

  /** Removes upstreams whose removal time has passed; returns whether there were any. */
  boolean removeExpired() {
    long nowMs = clock.nowMs();
    if (nowMs < nextExpiryMs) {
      return false;
    }
    departed.values().removeIf(entry -> nowMs - entry.atMs() > DEPARTED_RETENTION_MS);
    forgetEndedIncarnations();
    boolean isAnyRemoved = upstreams.values().removeIf(listed -> listed.removeAtMs <= nowMs);
    isAnyRemoved |= applyHeldBack(nowMs);
    nextExpiryMs = Long.MAX_VALUE;
    for (UpstreamEntry listed : upstreams.values()) {
      nextExpiryMs = Math.min(nextExpiryMs, listed.removeAtMs);
      if (listed.restored != null || listed.missingAt != null) {
        nextExpiryMs = Math.min(nextExpiryMs, listed.restoredFromMs);
      }
    }
    for (long untilMs : heldDomains.values()) {
      nextExpiryMs = Math.min(nextExpiryMs, untilMs);
    }
    for (Departed entry : departed.values()) {
      nextExpiryMs = Math.min(nextExpiryMs, entry.atMs() + DEPARTED_RETENTION_MS + 1);
    }
    return isAnyRemoved;
  }

  /** Applies what a restored store shows and what was not written again; returns whether it did. */
  private boolean applyHeldBack(long nowMs) {
    boolean isAnyApplied = false;
    for (UpstreamEntry listed : List.copyOf(upstreams.values())) {
      StoredObject<Upstream> restored = listed.restored;
      Upstream next = restored == null ? null : withLeaving(restored.value());
      if (restored != null && next != null && listed.restoredFromMs <= nowMs) {
        upstreams.put(restored.name(), new UpstreamEntry(next, restored.position(), nowMs));
        isAnyApplied = true;
      }
    }
    for (UpstreamEntry listed : List.copyOf(upstreams.values())) {
      StorePosition missingAt = listed.missingAt;
      if (missingAt != null && listed.restoredFromMs <= nowMs) {
        remove(listed.upstream.id(), Long.MIN_VALUE / 2, missingAt);
        isAnyApplied = true;
      }
    }
    for (Map.Entry<String, Long> held : Map.copyOf(heldDomains).entrySet()) {
      if (held.getValue() <= nowMs && domainsListed != null) {
        setOut(held.getKey(), false, domainsListed);
        isAnyApplied = true;
      }
    }
    return isAnyApplied;
  }

  private void forgetEndedIncarnations() {
    Set<String> known = new HashSet<>();
    upstreams.values().forEach(listed -> known.add(listed.upstream.incarnation()));
    departed.values().forEach(entry -> known.add(entry.upstream().incarnation()));
    leavingIncarnations.retainAll(known);
  }

  void onAllDomainsOut(StoredObjects<String> all) {
    Set<String> next = new HashSet<>();
    for (StoredObject<String> object : all.objects()) {
      next.add(object.name());
      onDomainOut(object);
    }
    StorePosition listedBefore = domainsListed;
    boolean isNewEra = listedBefore != null && all.position().era() > listedBefore.era();
    domainsListed = all.position();
    for (String name : Set.copyOf(domainsOut)) {
      if (next.contains(name)) {
        continue;
      }
      if (isNewEra) {
        hold(name);
      } else if (!heldDomains.containsKey(name)) {
        setOut(name, false, all.position());
      }
    }
  }

  void onDomainOut(StoredObject<String> object) {
    setOut(object.name(), !object.isRemoved(), object.position());
  }

  /** A restored store does not show the domain; operators write it again if it is still out. */
  private void hold(String name) {
    long untilMs = clock.nowMs() + MARK_RETENTION_MS;
    heldDomains.put(name, untilMs);
    nextExpiryMs = Math.min(nextExpiryMs, untilMs);
    log.write(LogEvent.MARK_HELD, "failureDomain", name, "forMs", MARK_RETENTION_MS);
  }

  /** Applies a change unless a newer one is known: stale watches return what lists have passed. */
  private void setOut(String name, boolean isOut, StorePosition position) {
    StorePosition known = domainPositions.get(name);
    // the removal of an entry may carry the revision of the entry's last change
    boolean isOlder =
        known != null && (isOut ? !position.isAfter(known) : position.isBefore(known));
    if (isOlder) {
      return;
    }
    domainPositions.put(name, position);
    heldDomains.remove(name);
    boolean isNews = isOut ? domainsOut.add(name) : domainsOut.remove(name);
    if (isNews) {
      log.write(
          isOut ? LogEvent.DOMAIN_OUT : LogEvent.DOMAIN_IN,
          "failureDomain",
          name,
          "revision",
          position.revision());
    }
  }
}
