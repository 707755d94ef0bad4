package org.limpetring.entry.group;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;
import org.limpetring.entry.model.MemberState;
import org.limpetring.entry.model.Membership;
import org.limpetring.entry.model.Upstream;
import org.limpetring.entry.port.EngineOrder;
import org.limpetring.entry.port.OrderReply;
import org.limpetring.entry.port.ReportReply;

/**
 * Sends orders that an engine carries out only in the state for which they were decided.
 *
 * <p>An order without an answer may be carried out seconds later, after newer ones. So each order
 * to join or open is conditional on the number of orders that the engine has begun: whatever it
 * begins afterwards, such as a leave, voids the orders that are still on their way.
 *
 * <p>A count and the membership at it are taken from the engine's report, or follow from its
 * answers to this planner's own orders where the report would lag; never from the list, which may
 * show a former membership. The count is at most the engine's own; where both are equal, no other
 * order has come in between. A report counts only if this daemon is found to be the planner still
 * after it: a planner that was frozen would undo its successor's orders.
 */
final class ConditionalOrders {

  /** Result of an attempt to send an order. */
  sealed interface Outcome {

    /** The order was sent. */
    record Sent(OrderReply reply) implements Outcome {}

    /** The engine's membership, null if none, does not allow the order; not sent. */
    record NotAllowed(@Nullable Membership membership) implements Outcome {}

    /** The engine did not report its state; not sent. */
    record NotReported(ReportReply reply) implements Outcome {}
  }

  /** Orders that an engine has begun, and its membership then. */
  private record State(long orderCount, @Nullable Membership membership) {}

  private record Left(String group, long epoch, long atMs) {}

  /** After this time the list is trusted again with what an engine has left. */
  private static final long MAX_LIST_LAG_MS = 2_000;

  private final PlannerRole role;
  private final OrderSender orders;
  private final HostProber prober;
  private final Map<String, State> stateByIncarnation = new HashMap<>();

  /** The group that each engine answered to have left last. */
  private final Map<String, Left> leftByIncarnation = new HashMap<>();

  ConditionalOrders(PlannerRole role, OrderSender orders, HostProber prober) {
    this.role = role;
    this.orders = orders;
    this.prober = prober;
  }

  /**
   * Sends an order, after a query for the engine's state unless the known state allows it.
   *
   * @param isAllowed whether the order may be sent to an engine with that membership, null if none
   */
  void send(
      Upstream engine,
      EngineOrder order,
      Predicate<@Nullable Membership> isAllowed,
      Consumer<Outcome> done) {
    State known = stateByIncarnation.get(engine.incarnation());
    if (known != null && isAllowed.test(known.membership())) {
      send(engine, order, known, done);
      return;
    }
    prober.probe(
        engine,
        reply -> {
          if (reply instanceof ReportReply.Received report
              && report.startedAtMs() == engine.startedAtMs()) {
            role.confirm(() -> onReported(engine, report, order, isAllowed, done));
          } else {
            done.accept(new Outcome.NotReported(reply));
          }
        });
  }

  private void onReported(
      Upstream engine,
      ReportReply.Received report,
      EngineOrder order,
      Predicate<@Nullable Membership> isAllowed,
      Consumer<Outcome> done) {
    Membership membership = report.status().membership();
    if (!isAllowed.test(membership)) {
      done.accept(new Outcome.NotAllowed(membership));
    } else if (report.orderCount().isPresent()) {
      State reported = new State(report.orderCount().getAsLong(), membership);
      stateByIncarnation.put(engine.incarnation(), reported);
      send(engine, order, reported, done);
    } else {
      // an engine that doesn't count its orders gets them unconditionally
      orders.send(engine, order, reply -> done.accept(new Outcome.Sent(reply)));
    }
  }

  private void send(Upstream engine, EngineOrder order, State state, Consumer<Outcome> done) {
    State next = new State(state.orderCount() + 1, membershipAfter(order, engine));
    orders.send(
        engine,
        order,
        OptionalLong.of(state.orderCount()),
        reply -> {
          onReply(engine.incarnation(), next, reply);
          done.accept(new Outcome.Sent(reply));
        });
  }

  private static @Nullable Membership membershipAfter(EngineOrder order, Upstream engine) {
    if (order instanceof EngineOrder.Join join) {
      int rank = join.members().indexOf(engine.id());
      return new Membership(join.group(), join.epoch(), rank, MemberState.UNKNOWN);
    }
    if (order instanceof EngineOrder.Open open) {
      return new Membership(open.group(), open.epoch(), 0, MemberState.UNKNOWN);
    }
    return null;
  }

  private void onReply(String incarnation, State next, OrderReply reply) {
    switch (reply) {
      case BEGUN -> stateByIncarnation.put(incarnation, next);
      case DONE, UNFIT, OTHER_ENGINE, GONE -> forget(incarnation);
      case OUTDATED, REFUSED, UNKNOWN -> {}
    }
  }

  /** The engine, a listed member of a group, has carried out an order to leave it. */
  void onLeft(Upstream engine, String group, long epoch, long nowMs) {
    String incarnation = engine.incarnation();
    State known = stateByIncarnation.remove(incarnation);
    Left previous = leftByIncarnation.get(incarnation);
    if (previous != null && previous.group().equals(group) && previous.epoch() == epoch) {
      return;
    }
    leftByIncarnation.put(incarnation, new Left(group, epoch, nowMs));
    Membership membership = known == null ? null : known.membership();
    if (known != null && membership != null && membership.isOf(group, epoch)) {
      stateByIncarnation.put(incarnation, new State(known.orderCount() + 1, null));
    }
  }

  /** What the planner knows about a restored plan while it may lack groups; else null. */
  @Nullable RestoredPlan restoredPlan(long nowMs) {
    return role.isStoreDoubtful(nowMs) ? role.restored() : null;
  }

  /**
   * Whether the engine has lately answered that it left the group, though the list may not show it
   * yet.
   */
  boolean hasLeft(Upstream engine, Membership membership, long nowMs) {
    Left left = leftByIncarnation.get(engine.incarnation());
    return left != null
        && membership.isOf(left.group(), left.epoch())
        && nowMs - left.atMs() < MAX_LIST_LAG_MS;
  }

  /** An unconditional order may change the engine's state. */
  void forget(Upstream engine) {
    forget(engine.incarnation());
  }

  private void forget(String incarnation) {
    stateByIncarnation.remove(incarnation);
  }

  /** Forgets all states; another planner may have sent orders. */
  void reset() {
    stateByIncarnation.clear();
    leftByIncarnation.clear();
  }

  /** Forgets incarnations that are no longer listed. */
  void retainListed(Iterable<Upstream> upstreams) {
    Set<String> listed = new HashSet<>();
    upstreams.forEach(upstream -> listed.add(upstream.incarnation()));
    stateByIncarnation.keySet().retainAll(listed);
    leftByIncarnation.keySet().retainAll(listed);
  }
}
