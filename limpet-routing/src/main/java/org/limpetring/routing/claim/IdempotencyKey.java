package org.limpetring.routing.claim;

import java.util.Optional;
import java.util.UUID;
import java.util.regex.Pattern;

/**
 * Idempotency key of a caller: a UUID of version 7 (RFC 9562), which carries its time of creation.
 *
 * <p>The time tells a key that was never used from one that has been forgotten.
 *
 * @param value the UUID
 */
public record IdempotencyKey(UUID value) {

  private static final Pattern FORM =
      Pattern.compile("[0-9a-fA-F]{8}(-[0-9a-fA-F]{4}){3}-[0-9a-fA-F]{12}");
  private static final int TIME_ORDERED_VERSION = 7;
  private static final int TIME_SHIFT_BITS = 16;

  /** Checks the version. */
  public IdempotencyKey {
    if (value.version() != TIME_ORDERED_VERSION) {
      throw new IllegalArgumentException("UUID version " + value.version());
    }
  }

  /** Reads the header value; empty where it is not a UUID of version 7. */
  public static Optional<IdempotencyKey> parse(String header) {
    if (!FORM.matcher(header).matches()) {
      return Optional.empty();
    }
    UUID uuid = UUID.fromString(header);
    return uuid.version() == TIME_ORDERED_VERSION
        ? Optional.of(new IdempotencyKey(uuid))
        : Optional.empty();
  }

  /** Key of creation time {@code unixMs} with the given random bits. */
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
