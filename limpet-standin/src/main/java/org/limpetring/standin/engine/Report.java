package org.limpetring.standin.engine;

import java.util.List;
import org.jspecify.annotations.Nullable;

/** What an upstream says of itself, in the form of the upstream interface. */
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
