package org.limpetring.entry.group;

import java.util.function.Consumer;
import org.limpetring.base.Clock;
import org.limpetring.entry.model.Membership;
import org.limpetring.entry.model.PlannedGroup;
import org.limpetring.entry.model.Upstream;
import org.limpetring.entry.port.EngineOrder;
import org.limpetring.entry.port.OrderReply;

/**
 * Dissolves a group and decides when its members are free. The head leaves first, so that no member
 * joins another group while the head may still serve; if the head can't be asked, each member is
 * ordered to leave individually.
 *
 * <p>An engine's answer to an order to leave is final: it voids the conditional orders to join and
 * open the group that are still on their way. The list is evidence only where it shows a restart or
 * a newer epoch; a membership that is missing may be one that has not begun yet. A refused
 * connection is no evidence of an ended process, since a cut refuses connections as well. A member
 * that can't be reached or is not listed is released without evidence, as it gets no orders until
 * it has reported its membership.
 */
final class GroupDissolver {

  /** An unanswered order to leave is retried after this time. */
  private static final long LEAVE_RETRY_MS = 350;

  /** Margin added to the time after which engines abandon a lost member. */
  private static final long STALL_MARGIN_MS = 700;

  /** Maximum wait for a head to finish its requests when a group ends gracefully. */
  private static final long GRACEFUL_CLOSE_MS = 2_500;

  /**
   * The same for a group that is dissolved for another model: its requests need not move, so that
   * they get several times the usual time of one.
   */
  private static final long DRAIN_MS = 5_000;

  private final GroupManager.Context context;
  private final OrderSender orders;
  private final ConditionalOrders conditionalOrders;
  private final HostProber prober;
  private final Clock clock;
  private final long stallMs;

  GroupDissolver(
      GroupManager.Context context,
      OrderSender orders,
      ConditionalOrders conditionalOrders,
      HostProber prober,
      Clock clock,
      long stallMs) {
    this.context = context;
    this.orders = orders;
    this.conditionalOrders = conditionalOrders;
    this.prober = prober;
    this.clock = clock;
    this.stallMs = stallMs;
  }

  /** Takes one step; sets {@link ManagedGroup#isReleased} once the members are free. */
  void step(ManagedGroup managed, long nowMs) {
    if (managed.isReleased) {
      return;
    }
    if (!managed.mayBeOpen) {
      releaseAfterHead(managed, "never opened");
      return;
    }
    Upstream head = context.upstream(managed.group.head());
    if (head != null && isListedAsFormerMember(managed, head)) {
      releaseAfterHead(managed, "head is listed as a former member");
      return;
    }
    long closeMs = managed.movesTo == null ? GRACEFUL_CLOSE_MS : DRAIN_MS;
    if (managed.isGraceful && nowMs - managed.endingSinceMs < closeMs && head != null) {
      if (!managed.isCloseSent) {
        managed.isCloseSent = true;
        conditionalOrders.forget(head);
        orders.send(
            head, new EngineOrder.Close(managed.group.name(), managed.group.epoch()), reply -> {});
      }
      Membership membership = head.membership();
      if (membership != null && membership.state().holdsMembers()) {
        return;
      }
    }
    if (managed.isDraining) {
      // requests that are still in progress move to another group
      managed.isDraining = false;
      context.onGroupEnding(managed.group, "drained");
    }
    if (nowMs - managed.leaveSentMs < LEAVE_RETRY_MS) {
      return;
    }
    managed.leaveSentMs = nowMs;
    if (head == null || prober.isMarkedUnresponsive(head)) {
      orderMembersToLeave(managed);
    }
    if (head != null) {
      orderToLeave(managed, head, reply -> onHeadReply(managed, head, reply));
    }
    releaseIfMembersLeft(managed, nowMs);
  }

  private void onHeadReply(ManagedGroup managed, Upstream head, OrderReply reply) {
    if (managed.isReleased) {
      return;
    }
    if (isNoMember(reply)) {
      releaseAfterHead(managed, "head answered " + reply);
      return;
    }
    if (reply == OrderReply.GONE) {
      prober.markUnresponsive(head);
    }
    orderMembersToLeave(managed);
    releaseIfMembersLeft(managed, clock.nowMs());
  }

  private static void releaseAfterHead(ManagedGroup managed, String reason) {
    managed.isReleased = true;
    managed.isHeadStopped = true;
    managed.releaseReason = reason;
  }

  /** Whether the engine's answer to an order to leave shows that it is no member. */
  private static boolean isNoMember(OrderReply reply) {
    return reply.isAccepted() || reply == OrderReply.UNFIT || reply == OrderReply.OTHER_ENGINE;
  }

  /** Whether the list shows that a host can't be a member again: restarted, or in a newer epoch. */
  private static boolean isListedAsFormerMember(ManagedGroup managed, Upstream host) {
    if (managed.isListDoubtful) {
      return false;
    }
    Long firstStartMs = managed.startTimesMs.get(host.id());
    if (firstStartMs != null && firstStartMs != host.startedAtMs()) {
      return true;
    }
    Membership membership = host.membership();
    return membership != null && membership.epoch() > managed.group.epoch();
  }

  private void orderToLeave(ManagedGroup managed, Upstream host, Consumer<OrderReply> done) {
    PlannedGroup group = managed.group;
    Membership membership = host.membership();
    boolean isListedMember = membership != null && membership.isOf(group.name(), group.epoch());
    orders.send(
        host,
        new EngineOrder.Leave(group.name(), group.epoch()),
        reply -> {
          if (reply.isAccepted() && isListedMember) {
            conditionalOrders.onLeft(host, group.name(), group.epoch(), clock.nowMs());
          } else {
            conditionalOrders.forget(host);
          }
          done.accept(reply);
        });
  }

  /**
   * Orders each member but the head to leave individually. A member that left belongs to no group,
   * and a head that lost a member stops serving and breaks by itself.
   */
  private void orderMembersToLeave(ManagedGroup managed) {
    for (String id : managed.group.members()) {
      Upstream member = context.upstream(id);
      if (member == null || id.equals(managed.group.head()) || managed.membersLeft.contains(id)) {
        continue;
      }
      if (isListedAsFormerMember(managed, member)) {
        onMemberLeft(managed, id);
        continue;
      }
      orderToLeave(
          managed,
          member,
          reply -> {
            if (isNoMember(reply)) {
              onMemberLeft(managed, id);
            } else if (reply == OrderReply.GONE) {
              prober.markUnresponsive(member);
            }
            releaseIfMembersLeft(managed, clock.nowMs());
          });
    }
  }

  private void onMemberLeft(ManagedGroup managed, String id) {
    managed.membersLeft.add(id);
    managed.firstLeftMs = Math.min(managed.firstLeftMs, clock.nowMs());
  }

  private void releaseIfMembersLeft(ManagedGroup managed, long nowMs) {
    if (managed.isReleased) {
      return;
    }
    if (areAllMembersReleased(managed)) {
      managed.isReleased = true;
      managed.releaseReason = "members left or out of reach";
    } else if (nowMs - managed.firstLeftMs > stallMs + STALL_MARGIN_MS) {
      // the head, if it lives, has broken for want of the member that left
      managed.isReleased = true;
      managed.releaseReason = "head lost a member and its stall time is over";
    }
  }

  /** Whether every member except the head has left, is no longer listed or does not respond. */
  private boolean areAllMembersReleased(ManagedGroup managed) {
    for (String id : managed.group.members()) {
      Upstream member = context.upstream(id);
      boolean isMemberReleased =
          id.equals(managed.group.head())
              || member == null
              || managed.membersLeft.contains(id)
              || prober.isMarkedUnresponsive(member);
      if (!isMemberReleased) {
        return false;
      }
    }
    return true;
  }
}
