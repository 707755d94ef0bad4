package org.limpetring.tables;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.util.List;

/** Serializes and parses the accepted configuration as JSON. */
public final class ConfigCodec {

  private static final JsonMapper MAPPER =
      JsonMapper.builder().enable(SerializationFeature.ORDER_MAP_ENTRIES_BY_KEYS).build();

  private ConfigCodec() {}

  /** JSON text for the platform and for peers. */
  public static String write(AcceptedConfig config) {
    try {
      return MAPPER.writeValueAsString(config);
    } catch (JsonProcessingException impossible) {
      throw new IllegalStateException(impossible);
    }
  }

  /** Parses the output of {@link #write}. */
  public static Validation<AcceptedConfig> read(String text) {
    try {
      return new Validation.Valid<>(MAPPER.readValue(text, AcceptedConfig.class));
    } catch (JsonProcessingException malformed) {
      String reason = malformed.getOriginalMessage();
      return new Validation.Invalid<>(List.of(new ValidationError("accepted", 0, "", reason)));
    }
  }
}
