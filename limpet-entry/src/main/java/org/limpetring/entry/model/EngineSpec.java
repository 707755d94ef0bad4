package org.limpetring.entry.model;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Performance figures of a pool's model engines, per group.
 *
 * @param slots requests that run concurrently
 * @param kvTokens capacity of the key-value cache in tokens
 * @param stride decoding steps in one pass
 * @param stepMs base time of a decoding step
 * @param perSequenceMs added to a step for each sequence being decoded
 * @param perContextTokenMs added to a step for each token of context
 * @param prefillTokensPerMs prefill rate
 * @param prefillChunkTokens most prompt tokens processed in one pass
 * @param reportLagMs age of the state in a report
 * @param loadsPerSecond rate at which loads from the weight store may start
 * @param loadsAtOnce concurrent loads that run at full speed
 * @param typicalPromptTokens mean prompt length
 * @param typicalOutputTokens mean output length
 * @param formMs time from the order Open until the head serves
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

  /** Makes a defensive copy of the models. */
  public EngineSpec {
    models = List.copyOf(models);
  }

  /** Returns the model of that name, or null. */
  public @Nullable ModelSpec model(String name) {
    for (ModelSpec model : models) {
      if (model.name().equals(name)) {
        return model;
      }
    }
    return null;
  }
}
