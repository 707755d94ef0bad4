package org.limpetring.entry.group;

import org.jspecify.annotations.Nullable;

/**
 * Host that belongs to no group.
 *
 * @param stagedModel model whose weights are staged on the host, or null
 * @param loadingModel model that is being loaded onto the host, or null
 * @param lastModel model of the host's last group in this incarnation, or null; the host joins a
 *     group of this model fastest
 * @param reservedModel model for which the host was freed; it forms groups of no other, or null
 */
public record FreeHost(
    String id,
    String fabricDomain,
    @Nullable String stagedModel,
    @Nullable String loadingModel,
    @Nullable String lastModel,
    @Nullable String reservedModel) {

  /** Host that may join a group of any model. */
  public FreeHost(
      String id,
      String fabricDomain,
      @Nullable String stagedModel,
      @Nullable String loadingModel,
      @Nullable String lastModel) {
    this(id, fabricDomain, stagedModel, loadingModel, lastModel, null);
  }
}
