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

/** State of one engine: its group, what it has loaded, and whether it is warm. */
final class Engine {

  private static final int HELD_LOAD_DIVISOR = 5;

  private final StandinSettings.Engine settings;
  private final SimulatedHost host;
  private final Map<String, Engine> fellows;
  private final WeightLoader loader;
  private final Clock clock;
  private final Set<String> heldModels = new LinkedHashSet<>();
  private final Batch batch = new Batch();
  private @Nullable Membership membership;
  private long highestEpoch;
  private long warmAtMs;
  private int incarnation = 1;

  /** Makes an engine without a group; {@code fellows} holds all engines by host. */
  Engine(
      StandinSettings.Engine settings,
      SimulatedHost host,
      Map<String, Engine> fellows,
      WeightLoader loader,
      Clock clock) {
    this.settings = settings;
    this.host = host;
    this.fellows = fellows;
    this.loader = loader;
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

  /** Obeys an order; the result is the highest epoch seen if it was refused, else null. */
  synchronized @Nullable Long obey(Order order) {
    boolean checks = settings.checksFencing() && !host.ignoresFencing();
    if (checks && order.epoch() < highestEpoch) {
      return highestEpoch;
    }
    highestEpoch = Math.max(highestEpoch, order.epoch());
    Membership current = membership;
    if (order.kind() == Order.Kind.JOIN) {
      join(order, current);
    } else if (current != null && current.group().equals(order.group())) {
      membership = order.kind() == Order.Kind.DRAIN ? current.renew(order.epoch(), true) : null;
    }
    return null;
  }

  /** State for an observer outside of the system under test. */
  EngineState state() {
    Membership own = membership();
    boolean isDraining = own != null && own.draining();
    return new EngineState(host.alive(), host.paused(), isDraining, report());
  }

  /** What the engine says of itself. */
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

  /** Whether the engine is loaded and each fellow member is alive in the same group and epoch. */
  boolean isReady() {
    Membership own = membership();
    if (own == null || !isWhole(own)) {
      return false;
    }
    for (String member : own.members()) {
      if (Objects.requireNonNull(fellows.get(member)).epoch() != own.epoch()) {
        return false;
      }
    }
    return true;
  }

  /** Token of the membership in which the engine would take a new request, or null. */
  @Nullable Object servingToken() {
    Membership own = membership();
    return own == null || own.draining() || !isReady() ? null : own.token();
  }

  /** Whether work begun under {@code token} can go on: the whole group is still there. */
  boolean canGoOn(Object token) {
    Membership own = membership();
    return own != null && own.token() == token && isWhole(own);
  }

  /** Whether the engine bears full load. */
  synchronized boolean isWarm() {
    return membership != null && clock.nowMs() >= warmAtMs;
  }

  /** Makes the engine cold from now on, without a new incarnation. */
  synchronized void chill() {
    warmAtMs = clock.nowMs() + settings.coldMs();
  }

  /** Forgets all, as a new process would. */
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

  /** Whether each fellow member is alive in the same group and has loaded its part. */
  private boolean isWhole(Membership own) {
    if (own.loadedAtMs() > clock.nowMs()) {
      return false;
    }
    for (String member : own.members()) {
      Engine fellow = fellows.get(member);
      if (fellow == null || !fellow.isMemberOf(own)) {
        return false;
      }
    }
    return true;
  }

  private boolean isMemberOf(Membership other) {
    Membership own = membership();
    return host.alive()
        && !host.paused()
        && own != null
        && own.isSameGroup(other)
        && own.loadedAtMs() <= clock.nowMs();
  }

  private void join(Order order, @Nullable Membership current) {
    if (current != null && current.isSamePlace(order)) {
      membership = current.renew(order.epoch(), false);
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
      loader.after(loadMs / HELD_LOAD_DIVISOR, () -> loaded(token));
    } else {
      loader.load(loadMs, () -> loaded(token));
    }
  }

  private synchronized void loaded(Object token) {
    if (membership == null || membership.token() != token || !host.alive()) {
      return;
    }
    long nowMs = clock.nowMs();
    heldModels.add(membership.model());
    membership = membership.loadedAt(nowMs);
    warmAtMs = nowMs + settings.coldMs();
  }
}
