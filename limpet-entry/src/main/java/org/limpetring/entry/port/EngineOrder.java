package org.limpetring.entry.port;

import java.util.List;

/** Order to a model engine. */
public sealed interface EngineOrder {

  /** Become a member of a group; refused if this incarnation has seen a higher epoch. */
  record Join(String group, long epoch, String model, List<String> members)
      implements EngineOrder {}

  /** Serve as the head of a group whose members have all joined. */
  record Open(String group, long epoch) implements EngineOrder {}

  /** Accept no more requests and complete those in progress. */
  record Close(String group, long epoch) implements EngineOrder {}

  /** Leave a group at once. */
  record Leave(String group, long epoch) implements EngineOrder {}

  /** Load a model's weights onto the host. */
  record Stage(String model) implements EngineOrder {}

  /** Returns the name in logs and metrics. */
  default String label() {
    return getClass().getSimpleName();
  }
}
