package org.limpetring.fleet.gossip;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import net.openhft.hashing.LongHashFunction;
import org.jspecify.annotations.Nullable;
import org.limpetring.base.DaemonId;

/**
 * Decides which topic versions are announced to which peers.
 *
 * <p>Rumour mongering with pull, backed by anti-entropy: Demers et al., "Epidemic algorithms for
 * replicated database maintenance", 1987. A daemon that receives a newer version announces its
 * number to a few random peers, and peers that lack the value pull it. A periodic exchange of
 * digests with one random peer repairs the effects of lost notices. A version never replaces a
 * newer one.
 */
public final class GossipMachine {

  /** Number of peers to which a daemon announces a new version. */
  public static final int NOTICE_FANOUT = 4;

  /** Time after which a pull without a response is retried. */
  public static final long PULL_TIMEOUT_MS = 500;

  private static final LongHashFunction HASH = LongHashFunction.xx3();

  private final DaemonId self;
  private final SplittableRandom random;
  private final TreeMap<String, TopicState> topics = new TreeMap<>();
  private final Map<String, Pull> pulls = new HashMap<>();
  private List<DaemonId> peers = List.of();

  /** Creates a machine without topics or peers; {@code seed} determines the choice of peers. */
  public GossipMachine(DaemonId self, long seed) {
    this.self = self;
    this.random = new SplittableRandom(seed);
  }

  /** Replaces the peers for notices and digests; this daemon itself is excluded. */
  public void setPeers(List<DaemonId> daemons) {
    peers = daemons.stream().filter(daemon -> !daemon.equals(self)).toList();
  }

  /** Version of {@code topic} held here; 0 if none. */
  public long version(String topic) {
    TopicState held = topics.get(topic);
    return held == null ? 0 : held.version();
  }

  /** Value of {@code topic} held here; null if none. */
  public @Nullable TopicState state(String topic) {
    return topics.get(topic);
  }

  /** Hash of all topics and versions held; equal digests imply equal contents. */
  public long digest() {
    long digest = 0;
    for (TopicState state : topics.values()) {
      digest += HASH.hashChars(state.topic() + '\n' + state.version());
    }
    return digest;
  }

  /** Processes a value from this daemon's own machines or from a peer. */
  public List<GossipEffect> offer(TopicState state, @Nullable DaemonId from) {
    if (state.version() <= version(state.topic())) {
      return List.of();
    }
    topics.put(state.topic(), state);
    Pull pull = pulls.get(state.topic());
    if (pull != null && pull.version <= state.version()) {
      pulls.remove(state.topic());
    }
    List<GossipEffect> effects = new ArrayList<>();
    effects.add(new GossipEffect.Deliver(state));
    List<TopicVersion> notice = List.of(new TopicVersion(state.topic(), state.version()));
    for (DaemonId peer : choosePeers(from)) {
      effects.add(new GossipEffect.SendNotice(peer, notice));
    }
    return effects;
  }

  /** Starts one round of anti-entropy and retries pulls without a response. */
  public List<GossipEffect> onTick(long nowMs) {
    List<GossipEffect> effects = new ArrayList<>();
    for (Map.Entry<String, Pull> entry : pulls.entrySet()) {
      Pull pull = entry.getValue();
      if (nowMs < pull.retryAtMs) {
        continue;
      }
      pull.retryAtMs = nowMs + PULL_TIMEOUT_MS;
      effects.add(new GossipEffect.SendPull(pull.source, List.of(entry.getKey())));
    }
    if (!peers.isEmpty()) {
      effects.add(new GossipEffect.SendDigest(peers.get(random.nextInt(peers.size())), digest()));
    }
    return effects;
  }

  /** Responds to a peer's digest. */
  public List<GossipEffect> onDigest(DaemonId from, long digest) {
    if (digest == digest()) {
      return List.of();
    }
    return List.of(new GossipEffect.SendAllVersions(from, versions()));
  }

  /** Compares a peer's complete list of versions with this daemon's versions. */
  public List<GossipEffect> onAllVersions(
      DaemonId from, List<TopicVersion> peerVersions, long nowMs) {
    List<GossipEffect> effects = new ArrayList<>(onNotice(from, peerVersions, nowMs));
    Map<String, Long> peerVersionByTopic = new HashMap<>();
    for (TopicVersion peerVersion : peerVersions) {
      peerVersionByTopic.put(peerVersion.topic(), peerVersion.version());
    }
    List<TopicVersion> newer = new ArrayList<>();
    for (TopicVersion ownVersion : versions()) {
      if (ownVersion.version() > peerVersionByTopic.getOrDefault(ownVersion.topic(), 0L)) {
        newer.add(ownVersion);
      }
    }
    if (!newer.isEmpty()) {
      effects.add(new GossipEffect.SendNotice(from, newer));
    }
    return effects;
  }

  /** Pulls the announced versions that are newer than those held or already requested. */
  public List<GossipEffect> onNotice(DaemonId from, List<TopicVersion> notice, long nowMs) {
    List<String> topicsToPull = new ArrayList<>();
    for (TopicVersion offered : notice) {
      if (offered.version() <= version(offered.topic())) {
        continue;
      }
      Pull pull = pulls.get(offered.topic());
      if (pull != null && pull.version >= offered.version() && nowMs < pull.retryAtMs) {
        pull.source = from;
        continue;
      }
      pulls.put(offered.topic(), new Pull(offered.version(), from, nowMs + PULL_TIMEOUT_MS));
      topicsToPull.add(offered.topic());
    }
    return topicsToPull.isEmpty()
        ? List.of()
        : List.of(new GossipEffect.SendPull(from, topicsToPull));
  }

  /** Sends the values that a peer requests. */
  public List<GossipEffect> onPull(DaemonId from, List<String> requestedTopics) {
    List<GossipEffect> effects = new ArrayList<>();
    for (String topic : requestedTopics) {
      TopicState state = topics.get(topic);
      if (state != null) {
        effects.add(new GossipEffect.SendState(from, state));
      }
    }
    return effects;
  }

  private List<TopicVersion> versions() {
    return topics.values().stream()
        .map(state -> new TopicVersion(state.topic(), state.version()))
        .toList();
  }

  private List<DaemonId> choosePeers(@Nullable DaemonId excluded) {
    List<DaemonId> remaining = new ArrayList<>(peers);
    remaining.remove(excluded);
    List<DaemonId> chosen = new ArrayList<>();
    while (chosen.size() < NOTICE_FANOUT && !remaining.isEmpty()) {
      int last = remaining.size() - 1;
      int index = random.nextInt(remaining.size());
      chosen.add(remaining.get(index));
      remaining.set(index, remaining.get(last));
      remaining.remove(last);
    }
    return chosen;
  }

  private static final class Pull {
    private final long version;
    private DaemonId source;
    private long retryAtMs;

    Pull(long version, DaemonId source, long retryAtMs) {
      this.version = version;
      this.source = source;
      this.retryAtMs = retryAtMs;
    }
  }
}
