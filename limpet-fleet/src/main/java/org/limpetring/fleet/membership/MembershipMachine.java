package org.limpetring.fleet.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;
import org.limpetring.base.DaemonId;

/**
 * Detects failed daemons.
 *
 * <p>SWIM (Das, Gupta and Motivala, 2002): each period one peer is probed, first directly and then
 * through helpers; a peer that does not respond is suspected, the suspicion is piggybacked on
 * probes, and the suspect refutes it with a higher incarnation. From Lifeguard (Dadgar, Phillips
 * and Currey, 2018): a daemon that was paused itself restarts the timeouts of its suspicions.
 */
public final class MembershipMachine {

  private static final int HELPER_COUNT = 3;
  private static final long NEVER_MS = Long.MAX_VALUE;

  private final DaemonId self;
  private final MembershipSettings settings;
  private final SplittableRandom random;
  private final UpdateQueue updateQueue = new UpdateQueue();
  private final Map<DaemonId, Member> members = new TreeMap<>();
  private final List<DaemonId> probeOrder = new ArrayList<>();
  private final Map<Long, Relay> relays = new HashMap<>();
  private long incarnation;
  private long lastNumber;
  private long lastTickMs = NEVER_MS;
  private long nextPeriodMs;
  private @Nullable ProbeRound probeRound;

  private static final class Member {
    private MemberUpdate update;
    private long lostAtMs = NEVER_MS;
    private boolean isLost;

    Member(DaemonId id) {
      this.update = new MemberUpdate(id, 0, false);
    }
  }

  /** Probe of the current period. */
  private static final class ProbeRound {
    private final DaemonId target;
    private final long number;
    private final long askHelpersAtMs;
    private boolean hasAskedHelpers;

    ProbeRound(DaemonId target, long number, long askHelpersAtMs) {
      this.target = target;
      this.number = number;
      this.askHelpersAtMs = askHelpersAtMs;
    }
  }

  /** Probe sent on behalf of another daemon. */
  private record Relay(DaemonId requester, long number, long endAtMs) {}

  /** Creates a detector without peers; {@code seed} determines the probe order. */
  public MembershipMachine(DaemonId self, MembershipSettings settings, long seed) {
    this.self = self;
    this.settings = settings;
    this.random = new SplittableRandom(seed);
  }

  /** Replaces the monitored daemons; the state of those that remain is kept. */
  public void setPeers(List<DaemonId> daemons) {
    members.keySet().retainAll(daemons);
    probeOrder.retainAll(daemons);
    for (DaemonId daemon : daemons) {
      if (!daemon.equals(self)) {
        members.computeIfAbsent(daemon, Member::new);
      }
    }
  }

  /** Whether {@code daemon} is neither suspected nor lost. */
  public boolean isTrusted(DaemonId daemon) {
    Member member = members.get(daemon);
    return daemon.equals(self) || (member != null && !member.update.suspected());
  }

  /** Advances probes and suspicions; call it several times per period. */
  public List<MembershipEffect> onTick(long nowMs) {
    List<MembershipEffect> effects = new ArrayList<>();
    if (lastTickMs != NEVER_MS && nowMs - lastTickMs > settings.pauseThresholdMs()) {
      restartSuspicions(nowMs);
    }
    lastTickMs = nowMs;
    relays.values().removeIf(relay -> nowMs >= relay.endAtMs());
    expireSuspicions(nowMs, effects);
    askHelpers(nowMs, effects);
    if (nowMs >= nextPeriodMs) {
      endRound(nowMs, effects);
      startRound(nowMs, effects);
    }
    return effects;
  }

  /** Responds to a probe. */
  public List<MembershipEffect> onProbe(
      DaemonId from, long number, List<MemberUpdate> updates, long nowMs) {
    List<MembershipEffect> effects = applyUpdates(updates, nowMs);
    effects.add(new MembershipEffect.SendAck(from, self, number, nextUpdates()));
    return effects;
  }

  /** Probes {@code target} on behalf of another daemon. */
  public List<MembershipEffect> onProbeRequest(
      DaemonId from, DaemonId target, long number, List<MemberUpdate> updates, long nowMs) {
    List<MembershipEffect> effects = applyUpdates(updates, nowMs);
    lastNumber++;
    relays.put(lastNumber, new Relay(from, number, nowMs + settings.probePeriodMs()));
    effects.add(new MembershipEffect.SendProbe(target, lastNumber, nextUpdates()));
    return effects;
  }

  /** Processes the response to a probe of this daemon or to a relayed one. */
  public List<MembershipEffect> onAck(
      DaemonId target, long number, List<MemberUpdate> updates, long nowMs) {
    List<MembershipEffect> effects = applyUpdates(updates, nowMs);
    Relay relay = relays.remove(number);
    if (relay != null) {
      effects.add(
          new MembershipEffect.SendAck(relay.requester(), target, relay.number(), nextUpdates()));
      return effects;
    }
    if (probeRound != null && probeRound.number == number && probeRound.target.equals(target)) {
      probeRound = null;
    }
    return effects;
  }

  private void askHelpers(long nowMs, List<MembershipEffect> effects) {
    if (probeRound == null || probeRound.hasAskedHelpers || nowMs < probeRound.askHelpersAtMs) {
      return;
    }
    probeRound.hasAskedHelpers = true;
    List<DaemonId> helpers = new ArrayList<>(members.keySet());
    helpers.remove(probeRound.target);
    for (int count = 0; count < HELPER_COUNT && !helpers.isEmpty(); count++) {
      DaemonId helper = helpers.remove(random.nextInt(helpers.size()));
      effects.add(
          new MembershipEffect.SendProbeRequest(
              helper, probeRound.target, probeRound.number, nextUpdates()));
    }
  }

  private void endRound(long nowMs, List<MembershipEffect> effects) {
    Member member = probeRound == null ? null : members.get(probeRound.target);
    if (member != null) {
      MemberUpdate known = member.update;
      applyUpdate(new MemberUpdate(known.daemon(), known.incarnation(), true), nowMs, effects);
    }
    probeRound = null;
  }

  private void startRound(long nowMs, List<MembershipEffect> effects) {
    nextPeriodMs = nowMs + settings.probePeriodMs();
    if (members.isEmpty()) {
      return;
    }
    if (probeOrder.isEmpty()) {
      List<DaemonId> remaining = new ArrayList<>(members.keySet());
      while (!remaining.isEmpty()) {
        probeOrder.add(remaining.remove(random.nextInt(remaining.size())));
      }
    }
    DaemonId target = probeOrder.remove(probeOrder.size() - 1);
    lastNumber++;
    probeRound = new ProbeRound(target, lastNumber, nowMs + settings.directTimeoutMs());
    List<MemberUpdate> updates = new ArrayList<>(nextUpdates());
    Member member = members.get(target);
    if (member != null && member.update.suspected()) {
      // The suspect can refute the suspicion only if it receives it.
      updates.add(member.update);
    }
    effects.add(new MembershipEffect.SendProbe(target, lastNumber, updates));
  }

  private void expireSuspicions(long nowMs, List<MembershipEffect> effects) {
    for (Member member : members.values()) {
      if (!member.isLost && nowMs >= member.lostAtMs) {
        member.isLost = true;
        effects.add(new MembershipEffect.Lost(member.update.daemon()));
      }
    }
  }

  private void restartSuspicions(long nowMs) {
    probeRound = null;
    for (Member member : members.values()) {
      if (member.lostAtMs != NEVER_MS && !member.isLost) {
        member.lostAtMs = nowMs + settings.suspicionTimeoutMs();
      }
    }
  }

  private List<MembershipEffect> applyUpdates(List<MemberUpdate> updates, long nowMs) {
    List<MembershipEffect> effects = new ArrayList<>();
    for (MemberUpdate update : updates) {
      if (!update.daemon().equals(self)) {
        applyUpdate(update, nowMs, effects);
      } else if (update.suspected() && update.incarnation() >= incarnation) {
        incarnation = update.incarnation() + 1;
        updateQueue.add(new MemberUpdate(self, incarnation, false));
      }
    }
    return effects;
  }

  private void applyUpdate(MemberUpdate update, long nowMs, List<MembershipEffect> effects) {
    Member member = members.get(update.daemon());
    if (member == null || !update.overrides(member.update)) {
      return;
    }
    boolean wasSuspected = member.update.suspected();
    member.update = update;
    updateQueue.add(update);
    if (update.suspected()) {
      member.lostAtMs = nowMs + settings.suspicionTimeoutMs();
      effects.add(new MembershipEffect.Suspected(update.daemon()));
      return;
    }
    member.lostAtMs = NEVER_MS;
    member.isLost = false;
    if (wasSuspected) {
      effects.add(new MembershipEffect.Recovered(update.daemon()));
    }
  }

  private List<MemberUpdate> nextUpdates() {
    return updateQueue.takeBatch(members.size() + 1);
  }
}
