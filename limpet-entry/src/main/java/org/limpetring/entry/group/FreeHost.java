package org.limpetring.entry.group;

import org.jspecify.annotations.Nullable;

/**
 * Host that no group holds.
 *
 * @param stagedModel model whose weights lie on the host, or null
 * @param loadingModel model that is being loaded onto it, or null
 * @param lastModel model of its last group in this life, or null; it joins fastest as that
 */
public record FreeHost(
    String id,
    String fabricDomain,
    @Nullable String stagedModel,
    @Nullable String loadingModel,
    @Nullable String lastModel) {}
