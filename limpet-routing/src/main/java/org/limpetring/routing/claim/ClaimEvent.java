package org.limpetring.routing.claim;

/** Input of {@link ClaimMachine}: an event at the owner of one claim shard. */
public sealed interface ClaimEvent {

  /** A request claims its key; it is decided by {@code deadlineMs} of the monotonic clock. */
  record Requested(ClaimRequest request, long deadlineMs) implements ClaimEvent {}

  /** A request that held or requested a claim ended. */
  record Settled(ClaimSettlement settlement) implements ClaimEvent {}

  /** The shard's object was read; {@code text} is empty and the version 0 if there is no object. */
  record Loaded(String text, long version) implements ClaimEvent {}

  /** The shard's object could not be read. */
  record LoadFailed() implements ClaimEvent {}

  /** The write in progress succeeded. */
  record Written(long version) implements ClaimEvent {}

  /** The object had changed, so the conditional write had no effect. */
  record WriteConflicted() implements ClaimEvent {}

  /** The platform rejected the write in progress before any effect. */
  record WriteRefused() implements ClaimEvent {}

  /** The response to the write in progress was lost; the write may still take effect later. */
  record WriteUnknown() implements ClaimEvent {}

  /** Time passed. */
  record Tick() implements ClaimEvent {}
}
