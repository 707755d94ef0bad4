package org.limpetring.fleet.node;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.limpetring.base.DaemonId;
import org.limpetring.fleet.DaemonEntry;
import org.limpetring.fleet.Role;
import org.limpetring.fleet.config.ConfigEffect;
import org.limpetring.fleet.config.ConfigFormat;
import org.limpetring.fleet.config.ConfigMachine;
import org.limpetring.fleet.config.JoinRead;
import org.limpetring.fleet.freshness.FreshnessMachine;
import org.limpetring.fleet.membership.MembershipEffect;
import org.limpetring.fleet.membership.MembershipMachine;
import org.limpetring.fleet.role.RoleKeeper;
import org.limpetring.fleet.roster.RosterCodec;
import org.limpetring.fleet.roster.RosterEffect;
import org.limpetring.fleet.roster.RosterMachine;
import org.limpetring.fleet.roster.RosterRecord;
import org.limpetring.fleet.spread.SpreadEffect;
import org.limpetring.fleet.spread.SpreadMachine;
import org.limpetring.fleet.spread.TopicState;
import org.limpetring.store.WriteResult;
import org.limpetring.tables.ConfigKeys;

/**
 * Joins the machines of one daemon: carries messages and platform answers to them and the effects
 * of one to the others. Decides nothing itself but which prefixes to watch and when to ask.
 */
public final class FleetMachine {

  private static final int ACCEPTORS = 3;
  private static final long AGEING_MS = 1_500;
  private static final long READ_AGE_MS = 2_200;
  private static final long CONTACT_MS = 1_000;
  private static final long READ_INTERVAL_MS = 1_000;
  private static final long SPREAD_INTERVAL_MS = 1_000;
  private static final long WISH_INTERVAL_MS = 1_000;

  private final DaemonEntry self;
  private final FleetSettings settings;
  private final ConfigMachine config;
  private final SpreadMachine spread;
  private final RosterMachine rosters;
  private final MembershipMachine membership;
  private final FreshnessMachine freshness;
  private final RoleKeeper roles;
  private final ExchangeSchedule schedule;
  private final Map<DaemonId, DaemonEntry> strangers = new HashMap<>();
  private Set<String> watched = Set.of();
  private List<FleetEffect> out = new ArrayList<>();
  private boolean isLeaving;
  private int acceptorRank = ConfigMachine.NO_ACCEPTOR;
  private long nextReadMs;
  private long nextSpreadMs;
  private long nextWishMs;

  /** Daemon that knows nothing yet; {@code seed} drives all random choices. */
  public FleetMachine(
      DaemonEntry self, FleetSettings settings, ConfigFormat format, long seed, long nowMs) {
    this.self = self;
    this.settings = settings;
    this.config = new ConfigMachine(format);
    this.spread = new SpreadMachine(self.id(), seed);
    this.rosters = new RosterMachine(self.id());
    this.membership = new MembershipMachine(self.id(), settings.membership(), seed + 1);
    this.freshness = new FreshnessMachine(self.id());
    this.roles = new RoleKeeper(self.id(), settings.roles());
    this.schedule = new ExchangeSchedule(self, seed + 2);
    this.nextSpreadMs = nowMs + Math.floorMod(seed, SPREAD_INTERVAL_MS);
    rosters.join(self, nowMs);
  }

  /** Snapshot for the path of requests. */
  public FleetView view(long nowMs) {
    return new FleetView(
        self.id(),
        rosters.record().roster(),
        config.inForce(),
        roles.view(freshness.currentAtMs(nowMs), freshness.platformAtMs()),
        freshness.currentAtMs(nowMs),
        settings.staleAfterMs(),
        isLeaving,
        config.mistakes());
  }

  /** The accepted configuration as it spreads; null before the first. */
  public @Nullable TopicState accepted() {
    return spread.state(ConfigKeys.ACCEPTED);
  }

  /** Whether a planned stop has ended with this daemon's removal from the roster. */
  public boolean hasLeft() {
    return isLeaving && !rosters.record().roster().contains(self.id());
  }

  /** Advances all machines; called several times a second. */
  public List<FleetEffect> onTick(long nowMs) {
    long ageMs = nowMs - freshness.currentAtMs(nowMs);
    updateWatches();
    if (ageMs > READ_AGE_MS && nowMs >= nextReadMs) {
      nextReadMs = nowMs + READ_INTERVAL_MS;
      out.add(new FleetEffect.ReadNewest());
    }
    roles.retire(nowMs);
    boolean isBusy = ageMs > AGEING_MS || roles.isWaiting();
    schedule.due(isBusy, nowMs).forEach(peer -> ask(peer, isBusy, nowMs));
    boolean inContact = nowMs - freshness.majorityAtMs(nowMs) <= CONTACT_MS;
    boolean needsContact = config.isDue(nowMs) || rosters.isDue(nowMs);
    if (needsContact && !inContact) {
      schedule.dueForContact(nowMs).forEach(peer -> ask(peer, false, nowMs));
    }
    boolean isAlone = rosters.record().roster().daemons().isEmpty();
    runConfig(config.onTick(inContact || isAlone, nowMs), nowMs);
    runRoster(rosters.onTick(nowMs), nowMs);
    runMembership(membership.onTick(nowMs), nowMs);
    if (nowMs >= nextSpreadMs) {
      nextSpreadMs += Math.max(SPREAD_INTERVAL_MS, nowMs - nextSpreadMs);
      runSpread(spread.onTick(nowMs), nowMs);
    }
    sendWishes(nowMs);
    return take();
  }

  /** Takes a message of a peer. */
  public List<FleetEffect> onMessage(DaemonId from, FleetMessage message, long nowMs) {
    if (message instanceof FleetMessage.Probe probe) {
      if (probe.target().equals(self.id())) {
        runMembership(membership.onProbe(from, probe.number(), probe.news(), nowMs), nowMs);
      }
    } else if (message instanceof FleetMessage.ProbeRequest request) {
      runMembership(
          membership.onProbeRequest(
              from, request.target(), request.number(), request.news(), nowMs),
          nowMs);
    } else if (message instanceof FleetMessage.ProbeAck ack) {
      runMembership(membership.onAck(ack.target(), ack.number(), ack.news(), nowMs), nowMs);
    } else if (message instanceof FleetMessage.Question question) {
      answer(from, question, nowMs);
    } else if (message instanceof FleetMessage.Answer answer) {
      onAnswer(from, answer, nowMs);
    } else if (message instanceof FleetMessage.Notice notice) {
      runSpread(spread.onNotice(from, notice.versions(), nowMs), nowMs);
    } else if (message instanceof FleetMessage.AllVersions all) {
      runSpread(spread.onAllVersions(from, all.versions(), nowMs), nowMs);
    } else if (message instanceof FleetMessage.Pull pull) {
      runSpread(spread.onPull(from, pull.topics()), nowMs);
    } else if (message instanceof FleetMessage.State state) {
      runSpread(spread.offer(state.state(), from), nowMs);
    } else if (message instanceof FleetMessage.Wish wish) {
      wish.joins().forEach(entry -> rosters.join(entry, nowMs));
      wish.leaves().forEach(daemon -> rosters.leave(daemon, nowMs));
    }
    return take();
  }

  /** Takes the text of {@code accepted} or of the roster as the platform or a watch gave it. */
  public List<FleetEffect> onStored(String key, String text, long nowMs) {
    if (key.equals(ConfigKeys.ACCEPTED)) {
      runConfig(config.onAccepted(text), nowMs);
    } else if (key.equals(RosterMachine.KEY)) {
      RosterCodec.read(text).ifPresent(read -> runRoster(rosters.onRecord(read), nowMs));
    }
    return take();
  }

  /** Notes that the platform held nothing newer than what was passed on, at {@code atMs}. */
  public void onPlatformConfirmed(long atMs) {
    freshness.onPlatformConfirmed(atMs);
  }

  /** Notes that a table or a mark changed at store revision {@code revision}. */
  public void onSourcesChanged(long revision, long nowMs) {
    config.onSourcesChanged(revision, nowMs);
  }

  /** Takes the result of {@link FleetEffect.ReadForJoin}. */
  public List<FleetEffect> onJoinRead(JoinRead read, long nowMs) {
    boolean inContact = nowMs - freshness.majorityAtMs(nowMs) <= CONTACT_MS;
    boolean isAlone = rosters.record().roster().daemons().isEmpty();
    runConfig(config.onRead(read, inContact || isAlone, nowMs), nowMs);
    return take();
  }

  /** Takes the result of {@link FleetEffect.WriteAccepted}. */
  public List<FleetEffect> onAcceptedWritten(
      ConfigEffect.WriteAccepted write, WriteResult result, long nowMs) {
    runConfig(config.onWritten(write, result, nowMs), nowMs);
    return take();
  }

  /** Takes the result of {@link FleetEffect.ReadRoster}; {@code stored} is null if it failed. */
  public List<FleetEffect> onRosterRead(@Nullable RosterRecord stored, long version, long nowMs) {
    if (stored == null) {
      rosters.onFailed(nowMs);
      return take();
    }
    boolean inContact = nowMs - freshness.majorityAtMs(nowMs) <= CONTACT_MS;
    runRoster(rosters.onRead(stored, version, inContact, roles.retire(nowMs), nowMs), nowMs);
    return take();
  }

  /** Takes the result of {@link FleetEffect.WriteRoster}. */
  public List<FleetEffect> onRosterWritten(
      RosterEffect.WriteRoster write, WriteResult result, long nowMs) {
    runRoster(rosters.onWritten(write, result, nowMs), nowMs);
    return take();
  }

  /** Spreads a value of another library's topic. */
  public List<FleetEffect> offer(TopicState state, long nowMs) {
    runSpread(spread.offer(state, null), nowMs);
    return take();
  }

  /** Begins a planned stop: gives up all roles at once and asks to be removed. */
  public List<FleetEffect> leave(long nowMs) {
    isLeaving = true;
    roles.release();
    rosters.leave(self.id(), nowMs);
    nextWishMs = nowMs;
    sendWishes(nowMs);
    return take();
  }

  private void updateWatches() {
    Set<String> wanted = new HashSet<>();
    boolean isMember = rosters.record().roster().contains(self.id());
    if (!isMember || schedule.isWatcher()) {
      wanted.add(ConfigKeys.ACCEPTED);
      wanted.add(RosterMachine.KEY);
    }
    if (isMember && acceptorRank != ConfigMachine.NO_ACCEPTOR) {
      wanted.add(ConfigKeys.TABLES_PREFIX);
      wanted.add(ConfigKeys.SERVICE_PREFIX);
    }
    if (!wanted.equals(watched)) {
      watched = wanted;
      out.add(new FleetEffect.Watch(wanted));
    }
  }

  private void sendWishes(long nowMs) {
    boolean isMember = rosters.record().roster().contains(self.id());
    if (nowMs < nextWishMs || isMember != isLeaving) {
      return;
    }
    nextWishMs = nowMs + WISH_INTERVAL_MS;
    FleetMessage.Wish wish =
        isLeaving
            ? new FleetMessage.Wish(List.of(), List.of(self.id()))
            : new FleetMessage.Wish(List.of(self), List.of());
    rosters.writers().forEach(writer -> send(writer, wish));
    if (!isLeaving) {
      rosters.join(self, nowMs);
    }
  }

  private void ask(DaemonEntry peer, boolean withMembers, long nowMs) {
    boolean isMember = rosters.record().roster().contains(self.id());
    out.add(
        new FleetEffect.Send(
            peer,
            new FleetMessage.Question(
                schedule.ask(nowMs),
                spread.digest(),
                rosters.record().epoch(),
                withMembers,
                isMember ? null : self)));
  }

  private void answer(DaemonId from, FleetMessage.Question question, long nowMs) {
    if (question.stranger() != null) {
      strangers.put(from, question.stranger());
    }
    roles.onEpochSeen(from, question.epoch(), nowMs);
    runSpread(spread.onDigest(from, question.digest()), nowMs);
    if (isLeaving) {
      // A daemon that gave up its roles counts as gone, so it must not confirm anything.
      return;
    }
    send(
        from,
        new FleetMessage.Answer(
            question.number(), freshness.report(question.withMembers(), nowMs), roles.seen()));
  }

  private void onAnswer(DaemonId from, FleetMessage.Answer answer, long nowMs) {
    roles.onEpochSeen(from, answer.report().epoch(), nowMs);
    roles.onSeen(answer.seen(), answer.report().epoch(), nowMs);
    long askedAtMs = schedule.takeAskedAtMs(answer.number());
    if (askedAtMs >= 0) {
      freshness.onReport(from, answer.report(), askedAtMs);
    }
  }

  private void runConfig(List<ConfigEffect> effects, long nowMs) {
    for (ConfigEffect effect : effects) {
      if (effect instanceof ConfigEffect.ReadForJoin) {
        out.add(new FleetEffect.ReadForJoin());
      } else if (effect instanceof ConfigEffect.WriteAccepted write) {
        out.add(new FleetEffect.WriteAccepted(write));
      } else if (effect instanceof ConfigEffect.PutInForce put) {
        long generation = put.config().generation();
        freshness.onGeneration(generation);
        runSpread(spread.offer(state(ConfigKeys.ACCEPTED, generation, put.text()), null), nowMs);
      }
    }
  }

  private void runRoster(List<RosterEffect> effects, long nowMs) {
    for (RosterEffect effect : effects) {
      if (effect instanceof RosterEffect.ReadRoster) {
        out.add(new FleetEffect.ReadRoster());
      } else if (effect instanceof RosterEffect.WriteRoster write) {
        out.add(new FleetEffect.WriteRoster(write));
      } else if (effect instanceof RosterEffect.Follow follow) {
        follow(follow.record(), nowMs);
      } else if (effect instanceof RosterEffect.Evicted evicted) {
        roles.release();
        out.add(new FleetEffect.Evicted(evicted.former()));
      }
    }
  }

  private void follow(RosterRecord record, long nowMs) {
    List<DaemonId> ids = record.roster().ids();
    freshness.onRoster(record.roster());
    roles.onRecord(record, nowMs);
    schedule.setRoster(record.roster());
    membership.setPeers(ids);
    spread.setPeers(ids);
    strangers.keySet().removeIf(record.roster()::contains);
    acceptorRank = Role.acceptor().ranked(ids, ACCEPTORS).indexOf(self.id());
    config.setRank(acceptorRank, nowMs);
    String text = RosterCodec.write(record);
    runSpread(spread.offer(state(RosterMachine.KEY, record.epoch(), text), null), nowMs);
  }

  private void runMembership(List<MembershipEffect> effects, long nowMs) {
    for (MembershipEffect effect : effects) {
      if (effect instanceof MembershipEffect.SendProbe send) {
        send(send.peer(), new FleetMessage.Probe(send.peer(), send.number(), send.news()));
      } else if (effect instanceof MembershipEffect.SendProbeRequest send) {
        send(
            send.helper(),
            new FleetMessage.ProbeRequest(send.target(), send.number(), send.news()));
      } else if (effect instanceof MembershipEffect.SendAck send) {
        send(send.peer(), new FleetMessage.ProbeAck(send.target(), send.number(), send.news()));
      } else if (effect instanceof MembershipEffect.Lost lost) {
        rosters.evict(lost.daemon(), nowMs);
      } else if (effect instanceof MembershipEffect.Recovered recovered) {
        rosters.keep(recovered.daemon());
      }
    }
  }

  private void runSpread(List<SpreadEffect> effects, long nowMs) {
    for (SpreadEffect effect : effects) {
      if (effect instanceof SpreadEffect.SendNotice send) {
        send(send.peer(), new FleetMessage.Notice(send.versions()));
      } else if (effect instanceof SpreadEffect.SendAllVersions send) {
        send(send.peer(), new FleetMessage.AllVersions(send.versions()));
      } else if (effect instanceof SpreadEffect.SendDigest send) {
        DaemonEntry peer = entry(send.peer());
        if (peer != null) {
          ask(peer, false, nowMs);
        }
      } else if (effect instanceof SpreadEffect.SendPull send) {
        send(send.peer(), new FleetMessage.Pull(send.topics()));
      } else if (effect instanceof SpreadEffect.SendState send) {
        send(send.peer(), new FleetMessage.State(send.state()));
      } else if (effect instanceof SpreadEffect.Deliver deliver) {
        deliver(deliver.state(), nowMs);
      }
    }
  }

  private void deliver(TopicState state, long nowMs) {
    String text = new String(state.value(), StandardCharsets.UTF_8);
    if (state.topic().equals(ConfigKeys.ACCEPTED)) {
      runConfig(config.onAccepted(text), nowMs);
    } else if (state.topic().equals(RosterMachine.KEY)) {
      RosterCodec.read(text).ifPresent(read -> runRoster(rosters.onRecord(read), nowMs));
    } else {
      out.add(new FleetEffect.Deliver(state));
    }
  }

  private void send(DaemonId to, FleetMessage message) {
    DaemonEntry entry = entry(to);
    if (entry != null && !to.equals(self.id())) {
      out.add(new FleetEffect.Send(entry, message));
    }
  }

  private @Nullable DaemonEntry entry(DaemonId daemon) {
    DaemonEntry listed = rosters.record().roster().entry(daemon);
    return listed == null ? strangers.get(daemon) : listed;
  }

  private List<FleetEffect> take() {
    List<FleetEffect> taken = out;
    out = new ArrayList<>();
    return taken;
  }

  private static TopicState state(String topic, long version, String text) {
    return new TopicState(topic, version, text.getBytes(StandardCharsets.UTF_8));
  }
}
