package org.limpetring.entry.group;

import org.limpetring.base.Clock;
import org.limpetring.entry.model.Membership;
import org.limpetring.entry.model.PlannedGroup;
import org.limpetring.entry.model.Upstream;
import org.limpetring.entry.port.EngineOrder;
import org.limpetring.entry.port.OrderReply;

/**
 * Takes a group apart: its head leaves first, so that no member joins another group while the head
 * may still serve; where the head can't be told, each member leaves by itself.
 */
final class GroupRelease {

  /** An order to leave that was not answered is sent again after this time. */
  private static final long LEAVE_AGAIN_MS = 350;

  /** Added to the time in which engines give up on a lost member. */
  private static final long STALL_MARGIN_MS = 700;

  /** Longest wait for a head to finish its requests when a group is ended gently. */
  private static final long GENTLE_MS = 2_500;

  private final GroupKeeper.Surroundings surroundings;
  private final EngineOrders orders;
  private final HostProbes probes;
  private final Clock clock;
  private final long stallMs;

  GroupRelease(
      GroupKeeper.Surroundings surroundings,
      EngineOrders orders,
      HostProbes probes,
      Clock clock,
      long stallMs) {
    this.surroundings = surroundings;
    this.orders = orders;
    this.probes = probes;
    this.clock = clock;
    this.stallMs = stallMs;
  }

  /** Takes one step; sets {@link GroupWork#isHeadReleased} once the members are free. */
  void step(GroupWork work, long nowMs) {
    if (work.isHeadReleased) {
      return;
    }
    Upstream head = surroundings.upstream(work.group.head());
    Membership membership = head == null ? null : head.membership();
    boolean hasLeft =
        head != null
            && (membership == null || !membership.isOf(work.group.name(), work.group.epoch()));
    if (!work.mayBeOpen || hasLeft) {
      work.isHeadReleased = true;
      work.isHeadOut = true;
      return;
    }
    if (work.isGentle && nowMs - work.endingSinceMs < GENTLE_MS && head != null) {
      if (!work.isCloseSent) {
        work.isCloseSent = true;
        orders.send(
            head, new EngineOrder.Close(work.group.name(), work.group.epoch()), reply -> {});
      }
      if (membership != null && membership.state().holdsMembers()) {
        return;
      }
    }
    if (nowMs - work.leaveSentMs < LEAVE_AGAIN_MS) {
      return;
    }
    work.leaveSentMs = nowMs;
    boolean isHeadSilent = head == null || probes.isKnownSilent(head);
    if (isHeadSilent) {
      releaseUnreachable(work, nowMs);
    }
    if (head == null) {
      return;
    }
    orders.send(
        head,
        new EngineOrder.Leave(work.group.name(), work.group.epoch()),
        reply -> {
          boolean isFree =
              reply.isAccepted()
                  || reply == OrderReply.GONE
                  || reply == OrderReply.OTHER_ENGINE
                  || reply == OrderReply.UNFIT;
          if (isFree) {
            work.isHeadReleased = true;
            work.isHeadOut = true;
          } else {
            releaseUnreachable(work, clock.nowMs());
          }
        });
  }

  /**
   * The head can't be told to leave: its members are, each by itself. A member that left belongs to
   * no group, and a head that lost one serves nothing more and breaks by itself.
   */
  private void releaseUnreachable(GroupWork work, long nowMs) {
    PlannedGroup group = work.group;
    for (String id : group.members()) {
      Upstream member = surroundings.upstream(id);
      if (member == null || id.equals(group.head()) || work.left.contains(id)) {
        continue;
      }
      Membership membership = member.membership();
      if (membership == null || !membership.isOf(group.name(), group.epoch())) {
        work.left.add(id);
        continue;
      }
      orders.send(
          member,
          new EngineOrder.Leave(group.name(), group.epoch()),
          reply -> {
            if (reply.isAccepted()
                || reply == OrderReply.GONE
                || reply == OrderReply.OTHER_ENGINE) {
              work.left.add(id);
            }
          });
    }
    work.isHeadReleased = isEachMemberOut(work);
    if (nowMs - work.endingSinceMs > stallMs + STALL_MARGIN_MS) {
      // who still does not answer forms no group anyway
      work.isHeadReleased = true;
    }
  }

  /** Whether each member but the head has left, is no longer listed or does not answer. */
  private boolean isEachMemberOut(GroupWork work) {
    for (String id : work.group.members()) {
      Upstream member = surroundings.upstream(id);
      boolean isOut =
          id.equals(work.group.head())
              || member == null
              || work.left.contains(id)
              || probes.isKnownSilent(member);
      if (!isOut) {
        return false;
      }
    }
    return true;
  }
}
