package org.limpetring.daemon.wiring;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.util.List;
import org.limpetring.routing.cold.ColdNotice;
import org.limpetring.routing.poison.CrashNotice;

/** JSON form of notices; a malformed one causes an {@link IllegalArgumentException}. */
final class NoticeCodec {

  private static final JsonMapper MAPPER = new JsonMapper();

  private NoticeCodec() {}

  static byte[] encodeCold(List<ColdNotice> notices) {
    return write(notices);
  }

  static List<ColdNotice> decodeCold(byte[] bytes) {
    return read(bytes, new TypeReference<List<ColdNotice>>() {});
  }

  static byte[] encodeCrashes(List<CrashNotice> notices) {
    return write(notices);
  }

  static List<CrashNotice> decodeCrashes(byte[] bytes) {
    return read(bytes, new TypeReference<List<CrashNotice>>() {});
  }

  private static byte[] write(Object notices) {
    try {
      return MAPPER.writeValueAsBytes(notices);
    } catch (JsonProcessingException impossible) {
      throw new IllegalStateException(impossible);
    }
  }

  private static <T> T read(byte[] bytes, TypeReference<T> type) {
    try {
      return MAPPER.readValue(bytes, type);
    } catch (IOException malformed) {
      throw new IllegalArgumentException("malformed notices", malformed);
    }
  }
}
