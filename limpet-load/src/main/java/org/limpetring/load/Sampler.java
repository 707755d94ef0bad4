package org.limpetring.load;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.limpetring.load.report.Sample;
import org.limpetring.standin.engine.EngineState;

/** Summarizes the states of all engines as one sample. */
final class Sampler {

  private Sampler() {}

  static Sample sample(long atMs, List<EngineState> states, int smallestGroup) {
    Map<String, Integer> readyMembers = new HashMap<>();
    Set<String> coldGroups = new HashSet<>();
    int healthyHosts = 0;
    for (EngineState state : states) {
      if (!state.alive() || state.paused() || state.draining()) {
        continue;
      }
      healthyHosts++;
      String group = state.report().group();
      if (group != null && state.report().ready()) {
        readyMembers.merge(group, 1, Integer::sum);
        if (!state.report().warm()) {
          coldGroups.add(group);
        }
      }
    }
    readyMembers.values().removeIf(members -> members < smallestGroup);
    coldGroups.retainAll(readyMembers.keySet());
    int servingHosts = readyMembers.values().stream().mapToInt(Integer::intValue).sum();
    int groups = readyMembers.size();
    return new Sample(atMs, groups, groups - coldGroups.size(), healthyHosts - servingHosts);
  }
}
