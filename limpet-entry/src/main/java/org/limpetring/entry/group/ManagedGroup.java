package org.limpetring.entry.group;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.limpetring.entry.model.PlannedGroup;

/**
 * Volatile state of a group under management; a new planner rebuilds it from the plan and the host
 * list.
 */
final class ManagedGroup {
  PlannedGroup group;
  final long startedMs;

  /** Whether it was planned by another planner, or before the store was restored. */
  boolean isTakenOver;

  /**
   * Start time of each member when first observed; a different one means that the member restarted.
   */
  final Map<String, Long> startTimesMs = new HashMap<>();

  final Map<String, Long> joinSentMs = new HashMap<>();

  /** Members that were listed as members since this planner manages the group. */
  final Set<String> joined = new HashSet<>();

  final Map<String, Integer> unansweredProbes = new HashMap<>();
  long openSentMs = Long.MIN_VALUE / 2;
  long openedMs = Long.MIN_VALUE / 2;
  long leaveSentMs = Long.MIN_VALUE / 2;
  long endingSinceMs;
  long nextProbeMs = Long.MIN_VALUE / 2;
  long departedProbedMs = Long.MIN_VALUE / 2;
  int probesInFlight;
  boolean isHeadDepartureProbed;

  /** Whether another planner had begun to form it; the plan may not say that it opened since. */
  boolean isFormingTakenOver;

  /** Whether it was being formed according to a plan from before the store was restored. */
  boolean isFormingRestored;

  /** Whether the list may show memberships from an older copy of the store. */
  boolean isListDoubtful;

  boolean mayBeOpen;
  boolean isGraceful;

  /** Whether the group gets no new requests while those in progress end there. */
  boolean isDraining;

  /** Model for which the group is dissolved, or null. */
  @Nullable String movesTo;

  boolean isReleased;
  boolean isHeadStopped;

  /** Why the members count as free, for the log. */
  String releaseReason = "";

  boolean isCloseSent;
  final Set<String> membersLeft = new HashSet<>();

  /** When the first member was found to have left. */
  long firstLeftMs = Long.MAX_VALUE;

  ManagedGroup(PlannedGroup group, long nowMs) {
    this.group = group;
    this.startedMs = nowMs;
  }
}
