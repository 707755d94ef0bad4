package org.limpetring.standin.engine;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.limpetring.base.Clock;
import org.limpetring.standin.StandinSettings;
import org.limpetring.standin.host.SimulatedHost;

/** State of one engine: its group membership, the models it holds, and whether it is warm. */
final class Engine {

  /** A model that the engine already holds loads faster by this factor. */
  private static final int HELD_MODEL_LOAD_DIVISOR = 5;

  private final StandinSettings.Engine settings;
  private final SimulatedHost host;
  private final Map<String, Engine> enginesByHost;
  private final WeightLoader weightLoader;
  private final Clock clock;
  private final Set<String> heldModels = new LinkedHashSet<>();
  private final Batch batch = new Batch();
  private @Nullable Membership membership;
  private long highestEpoch;
  private long warmAtMs;
  private int incarnation = 1;

  /** Creates an engine without a group; {@code enginesByHost} holds all engines of the process. */
  Engine(
      StandinSettings.Engine settings,
      SimulatedHost host,
      Map<String, Engine> enginesByHost,
      WeightLoader weightLoader,
      Clock clock) {
    this.settings = settings;
    this.host = host;
    this.enginesByHost = enginesByHost;
    this.weightLoader = weightLoader;
    this.clock = clock;
  }

  SimulatedHost host() {
    return host;
  }

  Batch batch() {
    return batch;
  }

  StandinSettings.Engine settings() {
    return settings;
  }

  /** Applies an order; returns null, or the highest epoch seen if the order was fenced off. */
  synchronized @Nullable Long applyOrder(Order order) {
    boolean checksFencing = settings.checksFencing() && !host.ignoresFencing();
    if (checksFencing && order.epoch() < highestEpoch) {
      return highestEpoch;
    }
    highestEpoch = Math.max(highestEpoch, order.epoch());
    Membership current = membership;
    if (order.kind() == Order.Kind.JOIN) {
      join(order, current);
    } else if (current != null && current.group().equals(order.group())) {
      membership = order.kind() == Order.Kind.DRAIN ? current.withEpoch(order.epoch(), true) : null;
    }
    return null;
  }

  /** State for an observer outside the system under test. */
  EngineState state() {
    Membership current = membership();
    boolean isDraining = current != null && current.draining();
    return new EngineState(host.alive(), host.paused(), isDraining, report());
  }

  /** Report of the engine on its own state. */
  Report report() {
    boolean ready = isReady();
    boolean warm = isWarm();
    synchronized (this) {
      return new Report(
          host.name(),
          incarnation(),
          membership == null ? null : membership.group(),
          membership == null ? 0 : membership.epoch(),
          ready,
          warm,
          host.leaving(),
          batch.running(),
          batch.waiting(),
          new ArrayList<>(heldModels));
    }
  }

  /** Whether all members of the group are loaded and alive, in the same group and epoch. */
  boolean isReady() {
    Membership current = membership();
    if (current == null || !isGroupComplete(current)) {
      return false;
    }
    for (String member : current.members()) {
      if (Objects.requireNonNull(enginesByHost.get(member)).epoch() != current.epoch()) {
        return false;
      }
    }
    return true;
  }

  /** Token of the membership if the engine accepts new requests, else null. */
  @Nullable Object servingToken() {
    Membership current = membership();
    return current == null || current.draining() || !isReady() ? null : current.token();
  }

  /** Whether work started under {@code token} can continue: the group is still complete. */
  boolean canContinue(Object token) {
    Membership current = membership();
    return current != null && current.token() == token && isGroupComplete(current);
  }

  /** Whether the engine is warm, which means it sustains full load. */
  synchronized boolean isWarm() {
    return membership != null && clock.nowMs() >= warmAtMs;
  }

  /** Makes the engine cold for {@code coldMs}, without a new incarnation. */
  synchronized void makeCold() {
    warmAtMs = clock.nowMs() + settings.coldMs();
  }

  /** Starts a new incarnation with empty state, as after a process restart. */
  synchronized void restart() {
    incarnation++;
    membership = null;
    highestEpoch = 0;
    heldModels.clear();
  }

  private String incarnation() {
    return host.name() + "#" + incarnation;
  }

  private synchronized @Nullable Membership membership() {
    return membership;
  }

  private synchronized long epoch() {
    return membership == null ? 0 : membership.epoch();
  }

  /** Whether every member is alive in the same group and has loaded its part. */
  private boolean isGroupComplete(Membership current) {
    if (current.loadedAtMs() > clock.nowMs()) {
      return false;
    }
    for (String member : current.members()) {
      Engine other = enginesByHost.get(member);
      if (other == null || !other.isMemberOf(current)) {
        return false;
      }
    }
    return true;
  }

  private boolean isMemberOf(Membership other) {
    Membership current = membership();
    return host.alive()
        && !host.paused()
        && current != null
        && current.isSameGroup(other)
        && current.loadedAtMs() <= clock.nowMs();
  }

  private void join(Order order, @Nullable Membership current) {
    if (current != null && current.isSameAssignment(order)) {
      membership = current.withEpoch(order.epoch(), false);
      return;
    }
    Object token = new Object();
    membership =
        new Membership(
            token,
            order.group(),
            order.epoch(),
            order.model(),
            order.rank(),
            order.members(),
            false,
            Long.MAX_VALUE);
    long loadMs = Math.round(settings.loadMs() * host.slowFactor());
    if (heldModels.contains(order.model())) {
      weightLoader.scheduleWithoutPermit(loadMs / HELD_MODEL_LOAD_DIVISOR, () -> onLoaded(token));
    } else {
      weightLoader.load(loadMs, () -> onLoaded(token));
    }
  }

  private synchronized void onLoaded(Object token) {
    if (membership == null || membership.token() != token || !host.alive()) {
      return;
    }
    long nowMs = clock.nowMs();
    heldModels.add(membership.model());
    membership = membership.withLoadedAt(nowMs);
    warmAtMs = nowMs + settings.coldMs();
  }
}
