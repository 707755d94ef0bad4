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
 * @param msPerMillionPairs added to prefill for each million pairs of a token and an earlier token
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
    double msPerMillionPairs,
    double reportLagMs,
    double loadsPerSecond,
    int loadsAtOnce,
    double typicalPromptTokens,
    double typicalOutputTokens,
    long formMs,
    List<ModelSpec> models) {

  private static final double PAIRS_PER_MILLION = 1_000_000;

  /** Makes a defensive copy of the models. */
  public EngineSpec {
    models = List.copyOf(models);
  }

  /** Returns the time of reading a prompt of that length, without pace. */
  public double prefillMs(double promptTokens) {
    double pairs = promptTokens * Math.max(0, promptTokens - 1) / 2;
    return promptTokens / prefillTokensPerMs + msPerMillionPairs * pairs / PAIRS_PER_MILLION;
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
