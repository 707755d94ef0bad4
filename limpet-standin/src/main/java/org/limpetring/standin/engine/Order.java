package org.limpetring.standin.engine;

import java.util.List;
import java.util.Objects;
import org.jspecify.annotations.Nullable;

/** Order as received by an engine. */
public record Order(
    Kind kind,
    String group,
    long epoch,
    @Nullable String host,
    String model,
    int rank,
    List<String> members) {

  /** Rejects an order without a kind or a group. */
  public Order {
    Objects.requireNonNull(kind, "kind");
    Objects.requireNonNull(group, "group");
    model = model == null ? "" : model;
    members = members == null ? List.of() : List.copyOf(members);
  }

  /** Action that the engine takes. */
  public enum Kind {
    /** Load the model and serve as a member of the group. */
    JOIN,
    /** Accept no new requests and finish those in progress. */
    DRAIN,
    /** Leave the group. */
    RELEASE
  }
}
