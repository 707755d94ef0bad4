package org.limpetring.entry.group;

import org.jspecify.annotations.Nullable;

/**
 * Host that belongs to no group.
 *
 * @param stagedModel model whose weights are staged on the host, or null
 * @param loadingModel model that is being loaded onto the host, or null
 * @param lastModel model of the host's last group in this incarnation, or null; the host joins a
 *     group of this model fastest
 */
public record FreeHost(
    String id,
    String fabricDomain,
    @Nullable String stagedModel,
    @Nullable String loadingModel,
    @Nullable String lastModel) {}
