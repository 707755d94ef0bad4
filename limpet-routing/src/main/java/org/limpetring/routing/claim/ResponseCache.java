package org.limpetring.routing.claim;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import java.util.Optional;

/** Answers of claimed work that this daemon gave, bounded in bytes; used by many threads. */
public final class ResponseCache {

  private final Cache<ClaimId, StoredResponse> answers;

  /** Cache of at most {@code maxBytes}. */
  public ResponseCache(long maxBytes) {
    this.answers =
        Caffeine.newBuilder()
            .maximumWeight(maxBytes)
            .weigher((ClaimId id, StoredResponse answer) -> answer.sizeBytes())
            .build();
  }

  /** Keeps a whole answer while memory allows. */
  public void put(ClaimId id, StoredResponse answer) {
    answers.put(id, answer);
  }

  /** The answer to the work of {@code id}, whose request may have had other content. */
  public Optional<StoredResponse> find(ClaimId id) {
    return Optional.ofNullable(answers.getIfPresent(id));
  }
}
