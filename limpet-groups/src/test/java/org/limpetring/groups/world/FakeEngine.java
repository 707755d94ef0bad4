package org.limpetring.groups.world;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.limpetring.base.GroupId;
import org.limpetring.base.HostId;
import org.limpetring.groups.MemberOrder;
import org.limpetring.groups.MemberReport;
import org.limpetring.groups.OrderResult;

/**
 * Simulated engine on one host: applies orders, loads weights at the rate of the store and loses
 * its group on a restart.
 */
final class FakeEngine {

  final HostId host;
  final boolean checksFencing;
  boolean isUp = true;
  boolean isPaused;
  boolean isDisconnected;
  boolean isLeaving;
  int running;
  int abortedRequests;
  @Nullable GroupId group;
  long epoch;
  private boolean isDraining;
  private String model = "";
  private List<HostId> members = List.of();
  private int incarnation;
  private final Set<String> heldModels = new HashSet<>();
  private double rejoinLeftMs;
  private double loadLeftMs;

  FakeEngine(HostId host, boolean checksFencing) {
    this.host = host;
    this.checksFencing = checksFencing;
  }

  boolean isResponsive() {
    return isUp && !isPaused && !isDisconnected;
  }

  boolean isReady() {
    return group != null && loadLeftMs <= 0 && rejoinLeftMs <= 0;
  }

  boolean isLoading() {
    return isUp && group != null && loadLeftMs > 0;
  }

  /** Whether a report of the engine would confirm this group now. */
  boolean confirms(GroupId id, long atEpoch) {
    return isResponsive() && isReady() && id.equals(group) && epoch == atEpoch && !isLeaving;
  }

  String incarnation() {
    return host + "#" + incarnation;
  }

  OrderResult order(MemberOrder order, FakeWeightStore weights) {
    if (checksFencing && order.epoch() < epoch) {
      return new OrderResult.Fenced(epoch);
    }
    epoch = order.epoch();
    switch (order.kind()) {
      case JOIN -> join(order, weights);
      case DRAIN -> isDraining = true;
      case RELEASE -> leaveGroup();
    }
    return new OrderResult.Taken();
  }

  private void join(MemberOrder order, FakeWeightStore weights) {
    if (!order.group().equals(group) || !order.members().equals(members)) {
      abortRunning();
    }
    isDraining = false;
    group = order.group();
    members = order.members();
    model = order.model();
    rejoinLeftMs = weights.rejoinMs;
    boolean continuesLoad = loadLeftMs > 0;
    loadLeftMs = heldModels.contains(model) ? 0 : continuesLoad ? loadLeftMs : weights.loadMs;
  }

  private void leaveGroup() {
    abortRunning();
    group = null;
    members = List.of();
    isDraining = false;
    loadLeftMs = 0;
  }

  private void abortRunning() {
    abortedRequests += running;
    running = 0;
  }

  /**
   * Advances loading or rejoining by {@code stepMs}; weights load at the share {@code rateShare} of
   * the full rate.
   */
  void advance(long stepMs, double rateShare) {
    if (!isUp || group == null) {
      return;
    }
    if (loadLeftMs > 0) {
      loadLeftMs -= stepMs * rateShare;
      if (loadLeftMs <= 0) {
        heldModels.add(model);
      }
      return;
    }
    rejoinLeftMs -= stepMs;
  }

  void crash(boolean losesWeights) {
    isUp = false;
    running = 0;
    group = null;
    members = List.of();
    epoch = 0;
    loadLeftMs = 0;
    incarnation++;
    if (losesWeights) {
      heldModels.clear();
    }
  }

  /** Restarts instantly and rejoins its group without an order, as some engines do. */
  void restartInPlace() {
    incarnation++;
    running = 0;
    rejoinLeftMs = 0;
  }

  MemberReport report() {
    return new MemberReport(
        host,
        incarnation(),
        group,
        epoch,
        isReady(),
        isReady() && !isDraining,
        isLeaving,
        running,
        0,
        List.copyOf(heldModels));
  }

  void addWeights(String heldModel) {
    heldModels.add(heldModel);
  }
}
