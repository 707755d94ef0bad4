package org.limpetring.standin.engine;

import java.util.List;
import org.jspecify.annotations.Nullable;

/** Report of an upstream on its own state, in the format of the upstream interface. */
public record Report(
    String host,
    String incarnation,
    @Nullable String group,
    long epoch,
    boolean ready,
    boolean warm,
    boolean leaving,
    int running,
    int waiting,
    List<String> heldModels) {}
