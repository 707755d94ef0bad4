package org.limpetring.routing.claim;

/** What the owner of one shard of claims must do. */
public sealed interface ClaimEffect {

  /** Read the shard's object. */
  record Load() implements ClaimEffect {}

  /** Write the shard's object if its version still is {@code expectedVersion}. */
  record Write(String text, long expectedVersion) implements ClaimEffect {}

  /** Answer the request named {@code attempt}. */
  record Answer(String attempt, ClaimDecision answer) implements ClaimEffect {}
}
