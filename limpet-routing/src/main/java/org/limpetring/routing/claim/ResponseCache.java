package org.limpetring.routing.claim;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import java.util.Optional;

/**
 * Cache of complete responses to claimed requests that this daemon served, bounded in bytes.
 * Thread-safe.
 */
public final class ResponseCache {

  private final Cache<ClaimId, StoredResponse> responses;

  /** Creates a cache of at most {@code maxBytes}. */
  public ResponseCache(long maxBytes) {
    this.responses =
        Caffeine.newBuilder()
            .maximumWeight(maxBytes)
            .weigher((ClaimId id, StoredResponse response) -> response.sizeBytes())
            .build();
  }

  /** Stores a complete response until it is evicted. */
  public void put(ClaimId id, StoredResponse response) {
    responses.put(id, response);
  }

  /** Returns the response stored for {@code id}; its request may have had other content. */
  public Optional<StoredResponse> find(ClaimId id) {
    return Optional.ofNullable(responses.getIfPresent(id));
  }
}
