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
 * Decides which daemons have failed.
 *
 * <p>SWIM (Das, Gupta and Motivala, 2002): in each period one peer is probed, directly and then
 * through helpers; a peer that does not answer is suspected, the suspicion travels with probes, and
 * the suspect refutes it with a higher incarnation. From Lifeguard (Dadgar, Phillips and Currey,
 * 2018): a daemon that was itself paused starts its suspicions anew before it believes them.
 */
public final class MembershipMachine {

  private static final int HELPERS = 3;
  private static final long NONE_MS = Long.MAX_VALUE;

  private final DaemonId self;
  private final MembershipSettings settings;
  private final SplittableRandom random;
  private final NewsQueue news = new NewsQueue();
  private final Map<DaemonId, Member> members = new TreeMap<>();
  private final List<DaemonId> order = new ArrayList<>();
  private final Map<Long, Relay> relays = new HashMap<>();
  private long incarnation;
  private long lastNumber;
  private long lastTickMs = NONE_MS;
  private long nextPeriodMs;
  private @Nullable Round round;

  private static final class Member {
    private MemberUpdate update;
    private long lostAtMs = NONE_MS;
    private boolean isLost;

    Member(DaemonId id) {
      this.update = new MemberUpdate(id, 0, false);
    }
  }

  /** Probe of the current period. */
  private static final class Round {
    private final DaemonId target;
    private final long number;
    private final long helpAtMs;
    private boolean asked;

    Round(DaemonId target, long number, long helpAtMs) {
      this.target = target;
      this.number = number;
      this.helpAtMs = helpAtMs;
    }
  }

  /** Probe made for another daemon. */
  private record Relay(DaemonId asker, long number, long endAtMs) {}

  /** Detector without peers; {@code seed} drives the order of probes. */
  public MembershipMachine(DaemonId self, MembershipSettings settings, long seed) {
    this.self = self;
    this.settings = settings;
    this.random = new SplittableRandom(seed);
  }

  /** Replaces the daemons to watch; what is known of those that stay is kept. */
  public void setPeers(List<DaemonId> daemons) {
    members.keySet().retainAll(daemons);
    order.retainAll(daemons);
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

  /** Advances probes and suspicions; called several times in each period. */
  public List<MembershipEffect> onTick(long nowMs) {
    List<MembershipEffect> effects = new ArrayList<>();
    if (lastTickMs != NONE_MS && nowMs - lastTickMs > settings.pauseMs()) {
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

  /** Answers a probe. */
  public List<MembershipEffect> onProbe(
      DaemonId from, long number, List<MemberUpdate> updates, long nowMs) {
    List<MembershipEffect> effects = takeNews(updates, nowMs);
    effects.add(new MembershipEffect.SendAck(from, self, number, takeNewsFor()));
    return effects;
  }

  /** Probes {@code target} for another daemon. */
  public List<MembershipEffect> onProbeRequest(
      DaemonId from, DaemonId target, long number, List<MemberUpdate> updates, long nowMs) {
    List<MembershipEffect> effects = takeNews(updates, nowMs);
    lastNumber++;
    relays.put(lastNumber, new Relay(from, number, nowMs + settings.periodMs()));
    effects.add(new MembershipEffect.SendProbe(target, lastNumber, takeNewsFor()));
    return effects;
  }

  /** Takes the answer to a probe of this daemon or to one made for another. */
  public List<MembershipEffect> onAck(
      DaemonId target, long number, List<MemberUpdate> updates, long nowMs) {
    List<MembershipEffect> effects = takeNews(updates, nowMs);
    Relay relay = relays.remove(number);
    if (relay != null) {
      effects.add(
          new MembershipEffect.SendAck(relay.asker(), target, relay.number(), takeNewsFor()));
      return effects;
    }
    if (round != null && round.number == number && round.target.equals(target)) {
      round = null;
    }
    return effects;
  }

  private void askHelpers(long nowMs, List<MembershipEffect> effects) {
    if (round == null || round.asked || nowMs < round.helpAtMs) {
      return;
    }
    round.asked = true;
    List<DaemonId> helpers = new ArrayList<>(members.keySet());
    helpers.remove(round.target);
    for (int count = 0; count < HELPERS && !helpers.isEmpty(); count++) {
      DaemonId helper = helpers.remove(random.nextInt(helpers.size()));
      effects.add(
          new MembershipEffect.SendProbeRequest(helper, round.target, round.number, takeNewsFor()));
    }
  }

  private void endRound(long nowMs, List<MembershipEffect> effects) {
    Member member = round == null ? null : members.get(round.target);
    if (member != null) {
      MemberUpdate known = member.update;
      take(new MemberUpdate(known.daemon(), known.incarnation(), true), nowMs, effects);
    }
    round = null;
  }

  private void startRound(long nowMs, List<MembershipEffect> effects) {
    nextPeriodMs = nowMs + settings.periodMs();
    if (members.isEmpty()) {
      return;
    }
    if (order.isEmpty()) {
      List<DaemonId> left = new ArrayList<>(members.keySet());
      while (!left.isEmpty()) {
        order.add(left.remove(random.nextInt(left.size())));
      }
    }
    DaemonId target = order.remove(order.size() - 1);
    lastNumber++;
    round = new Round(target, lastNumber, nowMs + settings.directMs());
    List<MemberUpdate> updates = new ArrayList<>(takeNewsFor());
    Member member = members.get(target);
    if (member != null && member.update.suspected()) {
      // The suspect must hear of the suspicion in order to refute it.
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
    round = null;
    for (Member member : members.values()) {
      if (member.lostAtMs != NONE_MS && !member.isLost) {
        member.lostAtMs = nowMs + settings.suspicionMs();
      }
    }
  }

  private List<MembershipEffect> takeNews(List<MemberUpdate> updates, long nowMs) {
    List<MembershipEffect> effects = new ArrayList<>();
    for (MemberUpdate update : updates) {
      if (!update.daemon().equals(self)) {
        take(update, nowMs, effects);
      } else if (update.suspected() && update.incarnation() >= incarnation) {
        incarnation = update.incarnation() + 1;
        news.add(new MemberUpdate(self, incarnation, false));
      }
    }
    return effects;
  }

  private void take(MemberUpdate update, long nowMs, List<MembershipEffect> effects) {
    Member member = members.get(update.daemon());
    if (member == null || !update.overrides(member.update)) {
      return;
    }
    boolean wasSuspected = member.update.suspected();
    member.update = update;
    news.add(update);
    if (update.suspected()) {
      member.lostAtMs = nowMs + settings.suspicionMs();
      effects.add(new MembershipEffect.Suspected(update.daemon()));
      return;
    }
    member.lostAtMs = NONE_MS;
    member.isLost = false;
    if (wasSuspected) {
      effects.add(new MembershipEffect.Recovered(update.daemon()));
    }
  }

  private List<MemberUpdate> takeNewsFor() {
    return news.take(members.size() + 1);
  }
}
