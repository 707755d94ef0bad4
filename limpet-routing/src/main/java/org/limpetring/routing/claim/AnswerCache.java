package org.limpetring.routing.claim;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import java.util.Optional;

/** Answers of claimed work that this daemon gave, bounded in bytes; used by many threads. */
public final class AnswerCache {

  private final Cache<ClaimId, StoredAnswer> answers;

  /** Cache of at most {@code maxBytes}. */
  public AnswerCache(long maxBytes) {
    this.answers =
        Caffeine.newBuilder()
            .maximumWeight(maxBytes)
            .weigher((ClaimId id, StoredAnswer answer) -> answer.sizeBytes())
            .build();
  }

  /** Keeps a whole answer while memory allows. */
  public void put(ClaimId id, StoredAnswer answer) {
    answers.put(id, answer);
  }

  /** The answer to the work of {@code id}, whose request may have had other content. */
  public Optional<StoredAnswer> find(ClaimId id) {
    return Optional.ofNullable(answers.getIfPresent(id));
  }
}
