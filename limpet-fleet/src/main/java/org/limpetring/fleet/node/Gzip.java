package org.limpetring.fleet.node;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.zip.GZIPInputStream;
import java.util.zip.GZIPOutputStream;
import org.limpetring.store.ObjectStore;

/** Compresses topic values for transfer between daemons. */
final class Gzip {

  private Gzip() {}

  static byte[] compress(byte[] value) {
    ByteArrayOutputStream compressed = new ByteArrayOutputStream();
    try (GZIPOutputStream gzip = new GZIPOutputStream(compressed)) {
      gzip.write(value);
    } catch (IOException impossible) {
      throw new IllegalStateException(impossible);
    }
    return compressed.toByteArray();
  }

  /**
   * Reverses {@link #compress}.
   *
   * @throws IllegalArgumentException if the bytes are malformed or the value exceeds the size limit
   *     of platform objects
   */
  static byte[] decompress(byte[] compressed) {
    try (GZIPInputStream gzip = new GZIPInputStream(new ByteArrayInputStream(compressed))) {
      byte[] value = gzip.readNBytes(ObjectStore.MAX_VALUE_BYTES + 1);
      if (value.length > ObjectStore.MAX_VALUE_BYTES) {
        throw new IllegalArgumentException("decompressed value exceeds the object size limit");
      }
      return value;
    } catch (IOException malformed) {
      throw new IllegalArgumentException("value is not valid gzip data", malformed);
    }
  }
}
