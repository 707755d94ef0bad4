package org.limpetring.fleet.node;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.zip.GZIPInputStream;
import java.util.zip.GZIPOutputStream;
import org.limpetring.store.ObjectStore;

/** Compresses topic values for the way between daemons. */
final class Gzip {

  private Gzip() {}

  static byte[] pack(byte[] value) {
    ByteArrayOutputStream packed = new ByteArrayOutputStream();
    try (GZIPOutputStream gzip = new GZIPOutputStream(packed)) {
      gzip.write(value);
    } catch (IOException impossible) {
      throw new IllegalStateException(impossible);
    }
    return packed.toByteArray();
  }

  /**
   * Undoes {@link #pack}.
   *
   * @throws IllegalArgumentException if the bytes are malformed or unpack to more than an object of
   *     the platform may hold
   */
  static byte[] unpack(byte[] packed) {
    try (GZIPInputStream gzip = new GZIPInputStream(new ByteArrayInputStream(packed))) {
      byte[] value = gzip.readNBytes(ObjectStore.MAX_VALUE_BYTES + 1);
      if (value.length > ObjectStore.MAX_VALUE_BYTES) {
        throw new IllegalArgumentException("value too large");
      }
      return value;
    } catch (IOException malformed) {
      throw new IllegalArgumentException("malformed value", malformed);
    }
  }
}
