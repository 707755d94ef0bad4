package org.limpetring.load;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.limpetring.load.report.Sample;
import org.limpetring.standin.engine.EngineState;

/** Condenses the state of all engines into one sample of group service. */
final class Sampler {

  private Sampler() {}

  static Sample sample(long atMs, List<EngineState> states) {
    Set<String> groups = new HashSet<>();
    Set<String> coldGroups = new HashSet<>();
    int stranded = 0;
    for (EngineState state : states) {
      String group = state.report().group();
      boolean healthy = state.alive() && !state.paused() && !state.draining();
      if (healthy && group != null && state.report().ready()) {
        groups.add(group);
        if (!state.report().warm()) {
          coldGroups.add(group);
        }
      } else if (healthy) {
        stranded++;
      }
    }
    return new Sample(atMs, groups.size(), groups.size() - coldGroups.size(), stranded);
  }
}
