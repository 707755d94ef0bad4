package org.limpetring.tables;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.util.List;

/** Writes and reads the accepted configuration as JSON text. */
public final class ConfigCodec {

  private static final JsonMapper MAPPER =
      JsonMapper.builder().enable(SerializationFeature.ORDER_MAP_ENTRIES_BY_KEYS).build();

  private ConfigCodec() {}

  /** Text for the platform and for peers. */
  public static String write(AcceptedConfig config) {
    try {
      return MAPPER.writeValueAsString(config);
    } catch (JsonProcessingException impossible) {
      throw new IllegalStateException(impossible);
    }
  }

  /** Reads what {@link #write} wrote. */
  public static Checked<AcceptedConfig> read(String text) {
    try {
      return new Checked.Valid<>(MAPPER.readValue(text, AcceptedConfig.class));
    } catch (JsonProcessingException malformed) {
      String reason = malformed.getOriginalMessage();
      return new Checked.Invalid<>(List.of(new TableMistake("accepted", 0, "", reason)));
    }
  }
}
