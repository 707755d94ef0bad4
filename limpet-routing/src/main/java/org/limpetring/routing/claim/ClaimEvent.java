package org.limpetring.routing.claim;

/** What happened to the owner of one shard of claims. */
public sealed interface ClaimEvent {

  /** A request wants its key; it is answered by {@code deadlineMs} of the monotonic clock. */
  record Asked(ClaimRequest request, long deadlineMs) implements ClaimEvent {}

  /** A request ended. */
  record Settled(ClaimSettlement settlement) implements ClaimEvent {}

  /** The shard's object was read; {@code text} is empty and the version 0 where there is none. */
  record Loaded(String text, long version) implements ClaimEvent {}

  /** The shard's object could not be read. */
  record LoadFailed() implements ClaimEvent {}

  /** The write in progress took effect. */
  record Written(long version) implements ClaimEvent {}

  /** The object had changed; the write in progress had no effect. */
  record WriteConflicted() implements ClaimEvent {}

  /** The platform refused the write in progress before any effect. */
  record WriteRefused() implements ClaimEvent {}

  /** The answer to the write in progress was lost; it may take effect even later. */
  record WriteUnknown() implements ClaimEvent {}

  /** Time passed. */
  record Tick() implements ClaimEvent {}
}
