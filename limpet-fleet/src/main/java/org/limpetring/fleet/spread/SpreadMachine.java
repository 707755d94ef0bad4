package org.limpetring.fleet.spread;

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
 * Decides which versions of which topics are told to which peers.
 *
 * <p>Rumour mongering with pull, repaired by anti-entropy: Demers et al., "Epidemic algorithms for
 * replicated database maintenance", 1987. A daemon that learns a newer version tells a few random
 * peers its number; whoever lacks the value pulls it. A periodic exchange of digests with one
 * random peer finds what a lost notice left behind. A version never replaces a newer one.
 */
public final class SpreadMachine {

  /** Peers that a daemon tells of a version that is new to it. */
  public static final int NOTICE_FANOUT = 4;

  /** Time after which an unanswered pull may be sent again. */
  public static final long PULL_TIMEOUT_MS = 500;

  private static final LongHashFunction HASH = LongHashFunction.xx3();

  private final DaemonId self;
  private final SplittableRandom random;
  private final TreeMap<String, TopicState> topics = new TreeMap<>();
  private final Map<String, Pull> pulls = new HashMap<>();
  private List<DaemonId> peers = List.of();

  /** Machine without topics or peers; {@code seed} drives the choice of peers. */
  public SpreadMachine(DaemonId self, long seed) {
    this.self = self;
    this.random = new SplittableRandom(seed);
  }

  /** Replaces the peers that notices and digests go to; this daemon itself is left out. */
  public void setPeers(List<DaemonId> daemons) {
    peers = daemons.stream().filter(daemon -> !daemon.equals(self)).toList();
  }

  /** Version held of {@code topic}; 0 if none. */
  public long version(String topic) {
    TopicState held = topics.get(topic);
    return held == null ? 0 : held.version();
  }

  /** Value held of {@code topic}. */
  public @Nullable TopicState state(String topic) {
    return topics.get(topic);
  }

  /** Hash of all topics and versions held; equal digests stand for equal contents. */
  public long digest() {
    long digest = 0;
    for (TopicState state : topics.values()) {
      digest += HASH.hashChars(state.topic() + '\n' + state.version());
    }
    return digest;
  }

  /** Takes a value from this daemon's own machines or from a peer. */
  public List<SpreadEffect> offer(TopicState state, @Nullable DaemonId from) {
    if (state.version() <= version(state.topic())) {
      return List.of();
    }
    topics.put(state.topic(), state);
    Pull pull = pulls.get(state.topic());
    if (pull != null && pull.version <= state.version()) {
      pulls.remove(state.topic());
    }
    List<SpreadEffect> effects = new ArrayList<>();
    effects.add(new SpreadEffect.Deliver(state));
    List<TopicVersion> notice = List.of(new TopicVersion(state.topic(), state.version()));
    for (DaemonId peer : choosePeers(from)) {
      effects.add(new SpreadEffect.SendNotice(peer, notice));
    }
    return effects;
  }

  /** Starts one round of anti-entropy and repeats pulls that were not answered. */
  public List<SpreadEffect> onTick(long nowMs) {
    List<SpreadEffect> effects = new ArrayList<>();
    for (Map.Entry<String, Pull> entry : pulls.entrySet()) {
      Pull pull = entry.getValue();
      if (nowMs < pull.retryAtMs) {
        continue;
      }
      pull.retryAtMs = nowMs + PULL_TIMEOUT_MS;
      effects.add(new SpreadEffect.SendPull(pull.source, List.of(entry.getKey())));
    }
    if (!peers.isEmpty()) {
      effects.add(new SpreadEffect.SendDigest(peers.get(random.nextInt(peers.size())), digest()));
    }
    return effects;
  }

  /** Answers a peer's digest. */
  public List<SpreadEffect> onDigest(DaemonId from, long digest) {
    if (digest == digest()) {
      return List.of();
    }
    return List.of(new SpreadEffect.SendAllVersions(from, versions()));
  }

  /** Compares a peer's complete list of versions with this daemon's. */
  public List<SpreadEffect> onAllVersions(DaemonId from, List<TopicVersion> theirs, long nowMs) {
    List<SpreadEffect> effects = new ArrayList<>(onNotice(from, theirs, nowMs));
    Map<String, Long> theirVersions = new HashMap<>();
    for (TopicVersion their : theirs) {
      theirVersions.put(their.topic(), their.version());
    }
    List<TopicVersion> newer = new ArrayList<>();
    for (TopicVersion mine : versions()) {
      if (mine.version() > theirVersions.getOrDefault(mine.topic(), 0L)) {
        newer.add(mine);
      }
    }
    if (!newer.isEmpty()) {
      effects.add(new SpreadEffect.SendNotice(from, newer));
    }
    return effects;
  }

  /** Pulls whatever a notice names that is newer than what is held or already asked for. */
  public List<SpreadEffect> onNotice(DaemonId from, List<TopicVersion> notice, long nowMs) {
    List<String> wanted = new ArrayList<>();
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
      wanted.add(offered.topic());
    }
    return wanted.isEmpty() ? List.of() : List.of(new SpreadEffect.SendPull(from, wanted));
  }

  /** Sends the values that a peer asks for. */
  public List<SpreadEffect> onPull(DaemonId from, List<String> wanted) {
    List<SpreadEffect> effects = new ArrayList<>();
    for (String topic : wanted) {
      TopicState state = topics.get(topic);
      if (state != null) {
        effects.add(new SpreadEffect.SendState(from, state));
      }
    }
    return effects;
  }

  private List<TopicVersion> versions() {
    return topics.values().stream()
        .map(state -> new TopicVersion(state.topic(), state.version()))
        .toList();
  }

  private List<DaemonId> choosePeers(@Nullable DaemonId except) {
    List<DaemonId> left = new ArrayList<>(peers);
    left.remove(except);
    List<DaemonId> chosen = new ArrayList<>();
    while (chosen.size() < NOTICE_FANOUT && !left.isEmpty()) {
      int last = left.size() - 1;
      int index = random.nextInt(left.size());
      chosen.add(left.get(index));
      left.set(index, left.get(last));
      left.remove(last);
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
