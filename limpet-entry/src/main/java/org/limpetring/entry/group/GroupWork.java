package org.limpetring.entry.group;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.limpetring.entry.model.PlannedGroup;

/** Work in progress on one group; lost with the planner and found again from the list. */
final class GroupWork {
  PlannedGroup group;
  final long startedMs;

  /** Start times of the members as first seen; another one means another life. */
  final Map<String, Long> startedAtMs = new HashMap<>();

  final Map<String, Long> joinSentMs = new HashMap<>();
  final Map<String, Integer> silentProbes = new HashMap<>();
  long openSentMs = Long.MIN_VALUE / 2;
  long openedMs = Long.MIN_VALUE / 2;
  long leaveSentMs = Long.MIN_VALUE / 2;
  long endingSinceMs;
  long probedMs = Long.MIN_VALUE / 2;
  long departedAskedMs = Long.MIN_VALUE / 2;
  int probesOut;
  boolean isDepartureProbed;
  boolean mayBeOpen;
  boolean isGentle;
  boolean isHeadReleased;
  boolean isHeadOut;
  boolean isCloseSent;
  final Set<String> left = new HashSet<>();

  GroupWork(PlannedGroup group, long nowMs) {
    this.group = group;
    this.startedMs = nowMs;
  }
}
