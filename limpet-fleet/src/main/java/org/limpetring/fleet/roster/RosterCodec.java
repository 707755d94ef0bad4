package org.limpetring.fleet.roster;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.util.Optional;

/** Writes and reads the {@code roster} object as JSON text. */
public final class RosterCodec {

  private static final JsonMapper MAPPER = JsonMapper.builder().build();

  private RosterCodec() {}

  /** Text for the platform and for peers. */
  public static String write(RosterRecord record) {
    try {
      return MAPPER.writeValueAsString(record);
    } catch (JsonProcessingException impossible) {
      throw new IllegalStateException(impossible);
    }
  }

  /** Reads what {@link #write} wrote; empty if the text is malformed. */
  public static Optional<RosterRecord> read(String text) {
    try {
      return Optional.of(MAPPER.readValue(text, RosterRecord.class));
    } catch (JsonProcessingException malformed) {
      return Optional.empty();
    }
  }
}
