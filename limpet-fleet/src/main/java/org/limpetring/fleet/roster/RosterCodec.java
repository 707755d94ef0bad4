package org.limpetring.fleet.roster;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.util.Optional;

/** Converts the {@code roster} object to and from JSON. */
public final class RosterCodec {

  private static final JsonMapper MAPPER = JsonMapper.builder().build();

  private RosterCodec() {}

  /** JSON text as stored in the platform and sent to peers. */
  public static String write(RosterRecord record) {
    try {
      return MAPPER.writeValueAsString(record);
    } catch (JsonProcessingException impossible) {
      throw new IllegalStateException(impossible);
    }
  }

  /** Parses the output of {@link #write}; empty if the text is malformed. */
  public static Optional<RosterRecord> read(String text) {
    try {
      return Optional.of(MAPPER.readValue(text, RosterRecord.class));
    } catch (JsonProcessingException malformed) {
      return Optional.empty();
    }
  }
}
