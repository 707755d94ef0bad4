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
import org.limpetring.fleet.gossip.GossipEffect;
import org.limpetring.fleet.gossip.GossipMachine;
import org.limpetring.fleet.gossip.TopicState;
import org.limpetring.fleet.membership.MembershipEffect;
import org.limpetring.fleet.membership.MembershipMachine;
import org.limpetring.fleet.role.RoleManager;
import org.limpetring.fleet.roster.RosterCodec;
import org.limpetring.fleet.roster.RosterEffect;
import org.limpetring.fleet.roster.RosterMachine;
import org.limpetring.fleet.roster.RosterRecord;
import org.limpetring.store.WriteResult;
import org.limpetring.tables.ConfigKeys;

/**
 * Combines the state machines of one daemon: dispatches messages and platform results to them and
 * applies the effects of one to the others. Its own decisions are only which prefixes to watch and
 * when to request reports.
 */
public final class FleetMachine {

  private static final int ACCEPTOR_COUNT = 3;
  private static final long URGENT_AGE_MS = 1_500;
  private static final long PLATFORM_READ_AGE_MS = 2_200;
  private static final long CONTACT_MAX_AGE_MS = 1_000;
  private static final long PLATFORM_READ_INTERVAL_MS = 1_000;
  private static final long GOSSIP_INTERVAL_MS = 1_000;
  private static final long ROSTER_REQUEST_INTERVAL_MS = 1_000;

  private final DaemonEntry self;
  private final FleetSettings settings;
  private final ConfigMachine config;
  private final GossipMachine gossip;
  private final RosterMachine rosters;
  private final MembershipMachine membership;
  private final FreshnessMachine freshness;
  private final RoleManager roles;
  private final ExchangeSchedule schedule;
  private final Map<DaemonId, DaemonEntry> unlistedSenders = new HashMap<>();
  private Set<String> watchedPrefixes = Set.of();
  private List<FleetEffect> pendingEffects = new ArrayList<>();
  private boolean isLeaving;
  private int acceptorRank = ConfigMachine.NOT_AN_ACCEPTOR;
  private long nextPlatformReadMs;
  private long nextGossipMs;
  private long nextRosterRequestMs;

  /**
   * Creates a daemon without roster or configuration; {@code seed} is the seed of all random
   * choices.
   */
  public FleetMachine(
      DaemonEntry self, FleetSettings settings, ConfigFormat format, long seed, long nowMs) {
    this.self = self;
    this.settings = settings;
    this.config = new ConfigMachine(format);
    this.gossip = new GossipMachine(self.id(), seed);
    this.rosters = new RosterMachine(self.id());
    this.membership = new MembershipMachine(self.id(), settings.membership(), seed + 1);
    this.freshness = new FreshnessMachine(self.id());
    this.roles = new RoleManager(self.id(), settings.roles());
    this.schedule = new ExchangeSchedule(self, seed + 2);
    this.nextGossipMs = nowMs + Math.floorMod(seed, GOSSIP_INTERVAL_MS);
    rosters.requestJoin(self, nowMs);
  }

  /** Snapshot for the request path. */
  public FleetView view(long nowMs) {
    return new FleetView(
        self.id(),
        rosters.record().roster(),
        config.inForce(),
        roles.view(freshness.currentAtMs(nowMs), freshness.platformConfirmedAtMs()),
        freshness.currentAtMs(nowMs),
        settings.staleAfterMs(),
        isLeaving,
        config.errors());
  }

  /** The accepted configuration as a gossip topic; null before the first one. */
  public @Nullable TopicState accepted() {
    return gossip.state(ConfigKeys.ACCEPTED);
  }

  /** Whether a planned stop has completed with this daemon's removal from the roster. */
  public boolean hasLeft() {
    return isLeaving && !rosters.record().roster().contains(self.id());
  }

  /** Advances all machines; call it several times per second. */
  public List<FleetEffect> onTick(long nowMs) {
    long ageMs = nowMs - freshness.currentAtMs(nowMs);
    updateWatches();
    if (ageMs > PLATFORM_READ_AGE_MS && nowMs >= nextPlatformReadMs) {
      nextPlatformReadMs = nowMs + PLATFORM_READ_INTERVAL_MS;
      pendingEffects.add(new FleetEffect.ReadNewest());
    }
    roles.retire(nowMs);
    boolean isUrgent = ageMs > URGENT_AGE_MS || roles.hasPendingRetirements();
    schedule.duePeers(isUrgent, nowMs).forEach(peer -> sendExchangeRequest(peer, isUrgent, nowMs));
    boolean hasMajorityContact = nowMs - freshness.majoritySyncedAtMs(nowMs) <= CONTACT_MAX_AGE_MS;
    boolean needsMajorityContact = config.isDue(nowMs) || rosters.isDue(nowMs);
    if (needsMajorityContact && !hasMajorityContact) {
      schedule
          .dueForMajorityContact(nowMs)
          .forEach(peer -> sendExchangeRequest(peer, false, nowMs));
    }
    boolean isRosterEmpty = rosters.record().roster().daemons().isEmpty();
    runConfig(config.onTick(hasMajorityContact || isRosterEmpty, nowMs), nowMs);
    runRoster(rosters.onTick(nowMs), nowMs);
    runMembership(membership.onTick(nowMs), nowMs);
    if (nowMs >= nextGossipMs) {
      nextGossipMs += Math.max(GOSSIP_INTERVAL_MS, nowMs - nextGossipMs);
      runGossip(gossip.onTick(nowMs), nowMs);
    }
    sendRosterRequest(nowMs);
    return drainEffects();
  }

  /** Processes a message from a peer. */
  public List<FleetEffect> onMessage(DaemonId from, FleetMessage message, long nowMs) {
    if (message instanceof FleetMessage.Probe probe) {
      if (probe.target().equals(self.id())) {
        runMembership(membership.onProbe(from, probe.number(), probe.updates(), nowMs), nowMs);
      }
    } else if (message instanceof FleetMessage.ProbeRequest request) {
      runMembership(
          membership.onProbeRequest(
              from, request.target(), request.number(), request.updates(), nowMs),
          nowMs);
    } else if (message instanceof FleetMessage.ProbeAck ack) {
      runMembership(membership.onAck(ack.target(), ack.number(), ack.updates(), nowMs), nowMs);
    } else if (message instanceof FleetMessage.ExchangeRequest exchangeRequest) {
      respond(from, exchangeRequest, nowMs);
    } else if (message instanceof FleetMessage.ExchangeResponse exchangeResponse) {
      onExchangeResponse(from, exchangeResponse, nowMs);
    } else if (message instanceof FleetMessage.Notice notice) {
      runGossip(gossip.onNotice(from, notice.versions(), nowMs), nowMs);
    } else if (message instanceof FleetMessage.AllVersions all) {
      runGossip(gossip.onAllVersions(from, all.versions(), nowMs), nowMs);
    } else if (message instanceof FleetMessage.Pull pull) {
      runGossip(gossip.onPull(from, pull.topics()), nowMs);
    } else if (message instanceof FleetMessage.State state) {
      runGossip(gossip.offer(state.state(), from), nowMs);
    } else if (message instanceof FleetMessage.RosterRequest rosterRequest) {
      rosterRequest.joins().forEach(entry -> rosters.requestJoin(entry, nowMs));
      rosterRequest.leaves().forEach(daemon -> rosters.requestLeave(daemon, nowMs));
    }
    return drainEffects();
  }

  /**
   * Processes the text of {@code accepted} or of the roster, read from the platform or received
   * from a watch.
   */
  public List<FleetEffect> onStored(String key, String text, long nowMs) {
    if (key.equals(ConfigKeys.ACCEPTED)) {
      runConfig(config.onAccepted(text), nowMs);
    } else if (key.equals(RosterMachine.KEY)) {
      RosterCodec.read(text).ifPresent(read -> runRoster(rosters.onRecord(read), nowMs));
    }
    return drainEffects();
  }

  /**
   * Records that at {@code atMs} the platform held nothing newer than what was passed to this
   * machine.
   */
  public void onPlatformConfirmed(long atMs) {
    freshness.onPlatformConfirmed(atMs);
  }

  /** Handles a change of a table or service mark at store revision {@code revision}. */
  public void onSourcesChanged(long revision, long nowMs) {
    config.onSourcesChanged(revision, nowMs);
  }

  /** Processes the result of {@link FleetEffect.ReadForJoin}. */
  public List<FleetEffect> onJoinRead(JoinRead read, long nowMs) {
    boolean hasMajorityContact = nowMs - freshness.majoritySyncedAtMs(nowMs) <= CONTACT_MAX_AGE_MS;
    boolean isRosterEmpty = rosters.record().roster().daemons().isEmpty();
    runConfig(config.onRead(read, hasMajorityContact || isRosterEmpty, nowMs), nowMs);
    return drainEffects();
  }

  /** Processes the result of {@link FleetEffect.WriteAccepted}. */
  public List<FleetEffect> onAcceptedWritten(
      ConfigEffect.WriteAccepted write, WriteResult result, long nowMs) {
    runConfig(config.onWritten(write, result, nowMs), nowMs);
    return drainEffects();
  }

  /**
   * Processes the result of {@link FleetEffect.ReadRoster}; {@code stored} is null if the read
   * failed.
   */
  public List<FleetEffect> onRosterRead(@Nullable RosterRecord stored, long version, long nowMs) {
    if (stored == null) {
      rosters.onReadFailed(nowMs);
      return drainEffects();
    }
    boolean hasMajorityContact = nowMs - freshness.majoritySyncedAtMs(nowMs) <= CONTACT_MAX_AGE_MS;
    runRoster(
        rosters.onRead(stored, version, hasMajorityContact, roles.retire(nowMs), nowMs), nowMs);
    return drainEffects();
  }

  /** Processes the result of {@link FleetEffect.WriteRoster}. */
  public List<FleetEffect> onRosterWritten(
      RosterEffect.WriteRoster write, WriteResult result, long nowMs) {
    runRoster(rosters.onWritten(write, result, nowMs), nowMs);
    return drainEffects();
  }

  /** Gossips a value of another library's topic. */
  public List<FleetEffect> offer(TopicState state, long nowMs) {
    runGossip(gossip.offer(state, null), nowMs);
    return drainEffects();
  }

  /** Starts a planned stop: releases all roles at once and requests removal from the roster. */
  public List<FleetEffect> leave(long nowMs) {
    isLeaving = true;
    roles.release();
    rosters.requestLeave(self.id(), nowMs);
    nextRosterRequestMs = nowMs;
    sendRosterRequest(nowMs);
    return drainEffects();
  }

  private void updateWatches() {
    Set<String> requiredPrefixes = new HashSet<>();
    boolean isMember = rosters.record().roster().contains(self.id());
    if (!isMember || schedule.isWatcher()) {
      requiredPrefixes.add(ConfigKeys.ACCEPTED);
      requiredPrefixes.add(RosterMachine.KEY);
    }
    if (isMember && acceptorRank != ConfigMachine.NOT_AN_ACCEPTOR) {
      requiredPrefixes.add(ConfigKeys.TABLES_PREFIX);
      requiredPrefixes.add(ConfigKeys.SERVICE_PREFIX);
    }
    if (!requiredPrefixes.equals(watchedPrefixes)) {
      watchedPrefixes = requiredPrefixes;
      pendingEffects.add(new FleetEffect.Watch(requiredPrefixes));
    }
  }

  private void sendRosterRequest(long nowMs) {
    boolean isMember = rosters.record().roster().contains(self.id());
    if (nowMs < nextRosterRequestMs || isMember != isLeaving) {
      return;
    }
    nextRosterRequestMs = nowMs + ROSTER_REQUEST_INTERVAL_MS;
    FleetMessage.RosterRequest rosterRequest =
        isLeaving
            ? new FleetMessage.RosterRequest(List.of(), List.of(self.id()))
            : new FleetMessage.RosterRequest(List.of(self), List.of());
    rosters.writers().forEach(writer -> send(writer, rosterRequest));
    if (!isLeaving) {
      rosters.requestJoin(self, nowMs);
    }
  }

  private void sendExchangeRequest(DaemonEntry peer, boolean withMemberAges, long nowMs) {
    boolean isMember = rosters.record().roster().contains(self.id());
    pendingEffects.add(
        new FleetEffect.Send(
            peer,
            new FleetMessage.ExchangeRequest(
                schedule.startRequest(nowMs),
                gossip.digest(),
                rosters.record().epoch(),
                withMemberAges,
                isMember ? null : self)));
  }

  private void respond(DaemonId from, FleetMessage.ExchangeRequest exchangeRequest, long nowMs) {
    if (exchangeRequest.unlistedSender() != null) {
      unlistedSenders.put(from, exchangeRequest.unlistedSender());
    }
    roles.onEpochAcknowledged(from, exchangeRequest.epoch(), nowMs);
    runGossip(gossip.onDigest(from, exchangeRequest.digest()), nowMs);
    if (isLeaving) {
      // A daemon that released its roles counts as having left, so it must not confirm epochs.
      return;
    }
    send(
        from,
        new FleetMessage.ExchangeResponse(
            exchangeRequest.number(),
            freshness.report(exchangeRequest.withMemberAges(), nowMs),
            roles.acknowledgements()));
  }

  private void onExchangeResponse(
      DaemonId from, FleetMessage.ExchangeResponse exchangeResponse, long nowMs) {
    roles.onEpochAcknowledged(from, exchangeResponse.report().epoch(), nowMs);
    roles.onAcknowledgements(
        exchangeResponse.acknowledgements(), exchangeResponse.report().epoch(), nowMs);
    long requestedAtMs = schedule.takeRequestedAtMs(exchangeResponse.number());
    if (requestedAtMs >= 0) {
      freshness.onReport(from, exchangeResponse.report(), requestedAtMs);
    }
  }

  private void runConfig(List<ConfigEffect> effects, long nowMs) {
    for (ConfigEffect effect : effects) {
      if (effect instanceof ConfigEffect.ReadForJoin) {
        pendingEffects.add(new FleetEffect.ReadForJoin());
      } else if (effect instanceof ConfigEffect.WriteAccepted write) {
        pendingEffects.add(new FleetEffect.WriteAccepted(write));
      } else if (effect instanceof ConfigEffect.PutInForce put) {
        long generation = put.config().generation();
        freshness.onGeneration(generation);
        runGossip(gossip.offer(state(ConfigKeys.ACCEPTED, generation, put.text()), null), nowMs);
      }
    }
  }

  private void runRoster(List<RosterEffect> effects, long nowMs) {
    for (RosterEffect effect : effects) {
      if (effect instanceof RosterEffect.ReadRoster) {
        pendingEffects.add(new FleetEffect.ReadRoster());
      } else if (effect instanceof RosterEffect.WriteRoster write) {
        pendingEffects.add(new FleetEffect.WriteRoster(write));
      } else if (effect instanceof RosterEffect.Adopt adopt) {
        adopt(adopt.record(), nowMs);
      } else if (effect instanceof RosterEffect.Evicted evicted) {
        roles.release();
        pendingEffects.add(new FleetEffect.Evicted(evicted.former()));
      }
    }
  }

  private void adopt(RosterRecord record, long nowMs) {
    List<DaemonId> ids = record.roster().ids();
    freshness.onRoster(record.roster());
    roles.onRecord(record, nowMs);
    schedule.setRoster(record.roster());
    membership.setPeers(ids);
    gossip.setPeers(ids);
    unlistedSenders.keySet().removeIf(record.roster()::contains);
    acceptorRank = Role.acceptor().ranked(ids, ACCEPTOR_COUNT).indexOf(self.id());
    config.setRank(acceptorRank, nowMs);
    String text = RosterCodec.write(record);
    runGossip(gossip.offer(state(RosterMachine.KEY, record.epoch(), text), null), nowMs);
  }

  private void runMembership(List<MembershipEffect> effects, long nowMs) {
    for (MembershipEffect effect : effects) {
      if (effect instanceof MembershipEffect.SendProbe send) {
        send(send.peer(), new FleetMessage.Probe(send.peer(), send.number(), send.updates()));
      } else if (effect instanceof MembershipEffect.SendProbeRequest send) {
        send(
            send.helper(),
            new FleetMessage.ProbeRequest(send.target(), send.number(), send.updates()));
      } else if (effect instanceof MembershipEffect.SendAck send) {
        send(send.peer(), new FleetMessage.ProbeAck(send.target(), send.number(), send.updates()));
      } else if (effect instanceof MembershipEffect.Lost lost) {
        rosters.requestEviction(lost.daemon(), nowMs);
      } else if (effect instanceof MembershipEffect.Recovered recovered) {
        rosters.cancelEviction(recovered.daemon());
      }
    }
  }

  private void runGossip(List<GossipEffect> effects, long nowMs) {
    for (GossipEffect effect : effects) {
      if (effect instanceof GossipEffect.SendNotice send) {
        send(send.peer(), new FleetMessage.Notice(send.versions()));
      } else if (effect instanceof GossipEffect.SendAllVersions send) {
        send(send.peer(), new FleetMessage.AllVersions(send.versions()));
      } else if (effect instanceof GossipEffect.SendDigest send) {
        DaemonEntry peer = entry(send.peer());
        if (peer != null) {
          sendExchangeRequest(peer, false, nowMs);
        }
      } else if (effect instanceof GossipEffect.SendPull send) {
        send(send.peer(), new FleetMessage.Pull(send.topics()));
      } else if (effect instanceof GossipEffect.SendState send) {
        send(send.peer(), new FleetMessage.State(send.state()));
      } else if (effect instanceof GossipEffect.Deliver deliver) {
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
      pendingEffects.add(new FleetEffect.Deliver(state));
    }
  }

  private void send(DaemonId to, FleetMessage message) {
    DaemonEntry entry = entry(to);
    if (entry != null && !to.equals(self.id())) {
      pendingEffects.add(new FleetEffect.Send(entry, message));
    }
  }

  private @Nullable DaemonEntry entry(DaemonId daemon) {
    DaemonEntry listed = rosters.record().roster().entry(daemon);
    return listed == null ? unlistedSenders.get(daemon) : listed;
  }

  private List<FleetEffect> drainEffects() {
    List<FleetEffect> taken = pendingEffects;
    pendingEffects = new ArrayList<>();
    return taken;
  }

  private static TopicState state(String topic, long version, String text) {
    return new TopicState(topic, version, text.getBytes(StandardCharsets.UTF_8));
  }
}
