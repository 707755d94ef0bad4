package org.limpetring.entry.model;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Figures of a pool's model engines, per group.
 *
 * @param slots requests that run at once
 * @param kvTokens memory in tokens
 * @param stride token steps in one pass
 * @param stepMs time of a step
 * @param perSequenceMs added to a step by each request that writes
 * @param perContextTokenMs added to a step by each token of context
 * @param prefillTokensPerMs prompt tokens read in a millisecond
 * @param prefillChunkTokens prompt tokens read in one pass at most
 * @param reportLagMs age of a report
 * @param loadsPerSecond loads from the weight store that may start in a second
 * @param loadsAtOnce concurrent loads that run at full speed
 * @param typicalPromptTokens mean prompt
 * @param typicalOutputTokens mean answer
 * @param formMs time from the order to open until the head serves
 */
public record EngineSpec(
    int slots,
    long kvTokens,
    int stride,
    double stepMs,
    double perSequenceMs,
    double perContextTokenMs,
    double prefillTokensPerMs,
    int prefillChunkTokens,
    double reportLagMs,
    double loadsPerSecond,
    int loadsAtOnce,
    double typicalPromptTokens,
    double typicalOutputTokens,
    long formMs,
    List<ModelSpec> models) {

  /** Copies the models. */
  public EngineSpec {
    models = List.copyOf(models);
  }

  /** The model of that name, or null. */
  public @Nullable ModelSpec model(String name) {
    for (ModelSpec model : models) {
      if (model.name().equals(name)) {
        return model;
      }
    }
    return null;
  }
}
