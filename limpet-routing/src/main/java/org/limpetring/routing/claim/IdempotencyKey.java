package org.limpetring.routing.claim;

import java.util.Optional;
import java.util.UUID;
import java.util.regex.Pattern;

/**
 * Idempotency key of a caller: a UUID of version 7 (RFC 9562), which carries its creation time.
 *
 * <p>The creation time distinguishes a key that was never used from one that has been forgotten.
 *
 * @param value the UUID
 */
public record IdempotencyKey(UUID value) {

  private static final Pattern FORMAT =
      Pattern.compile("[0-9a-fA-F]{8}(-[0-9a-fA-F]{4}){3}-[0-9a-fA-F]{12}");
  private static final int UUID_VERSION = 7;
  private static final int TIME_SHIFT_BITS = 16;

  /** Checks the UUID version. */
  public IdempotencyKey {
    if (value.version() != UUID_VERSION) {
      throw new IllegalArgumentException(
          "idempotency key must be a UUID of version 7, not " + value.version());
    }
  }

  /** Parses a header value; empty if it is not a UUID of version 7. */
  public static Optional<IdempotencyKey> parse(String header) {
    if (!FORMAT.matcher(header).matches()) {
      return Optional.empty();
    }
    UUID uuid = UUID.fromString(header);
    return uuid.version() == UUID_VERSION
        ? Optional.of(new IdempotencyKey(uuid))
        : Optional.empty();
  }

  /** Creates a key with the creation time {@code unixMs} and the given random bits. */
  public static IdempotencyKey of(long unixMs, long randomHigh, long randomLow) {
    long high = unixMs << TIME_SHIFT_BITS | 0x7000L | randomHigh & 0x0FFFL;
    long low = randomLow & 0x3FFF_FFFF_FFFF_FFFFL | 0x8000_0000_0000_0000L;
    return new IdempotencyKey(new UUID(high, low));
  }

  /** Creation time by the caller's clock, in milliseconds since the Unix epoch. */
  public long timeMs() {
    return value.getMostSignificantBits() >>> TIME_SHIFT_BITS;
  }
}
