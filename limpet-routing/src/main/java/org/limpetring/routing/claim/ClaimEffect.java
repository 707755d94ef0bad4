package org.limpetring.routing.claim;

/** Action that the owner of a claim shard must carry out. */
public sealed interface ClaimEffect {

  /** Read the shard's object. */
  record Load() implements ClaimEffect {}

  /** Write the shard's object if its version is still {@code expectedVersion}. */
  record Write(String text, long expectedVersion) implements ClaimEffect {}

  /** Send the decision to the request named {@code attempt}. */
  record Respond(String attempt, ClaimDecision decision) implements ClaimEffect {}
}
