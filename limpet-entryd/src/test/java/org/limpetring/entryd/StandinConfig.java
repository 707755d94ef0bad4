package org.limpetring.entryd;

/**
 * Small configuration in the operators' format: a resumable stream at {@code /s/}, a non-idempotent
 * service at {@code /o/}, an idempotent one at {@code /r/}.
 */
public final class StandinConfig {

  private StandinConfig() {}

  /** Configuration as JSON; {@code key} is the only valid caller key. */
  public static String json(int version, String key) {
    return json(version, key, 4, 3_000);
  }

  /** The same with {@code slots} requests at once at an engine and another time limit. */
  public static String json(int version, String key, int slots, long timeoutMs) {
    return ("{\"version\":%d,\"routes\":["
            + route("s", "streaming", "engines", true, timeoutMs)
            + ","
            + route("o", "non_idempotent", "plain", false, timeoutMs)
            + ","
            + route("r", "idempotent", "plain", false, timeoutMs)
            + "],\"services\":[{\"name\":\"engines\",\"max_conns\":100,\"engine\":{\"slots\":%d,"
            + "\"step_ms\":5,\"read_per_s\":50000,\"stride\":7,\"chunk\":2048,\"loads_per_s\":4.5,"
            + "\"loads_at_once\":6,\"usual\":{\"prompt\":100,\"answer\":50},\"models\":[{\"name\":\"m\","
            + "\"size\":2,\"share\":1,\"pace\":1,\"load_s\":1,\"warm_s\":0.1}]}},"
            + "{\"name\":\"plain\",\"max_conns\":100}],"
            + "\"tenants\":[{\"name\":\"team\",\"api_keys\":[\"%s\"]}],\"limits\":{}}")
        .formatted(version, slots, key);
  }

  private static String route(
      String prefix, String kind, String service, boolean isResumable, long timeoutMs) {
    return "{\"name\":\"%s\",\"host\":\"127.0.0.1\",\"prefix\":\"/%s/\",\"kind\":\"%s\",\"timeout_ms\":%d,\"slo_ms\":500,\"attempts\":2,\"priority\":1,\"resumable\":%s,\"service\":\"%s\"}"
        .formatted(prefix, prefix, kind, timeoutMs, isResumable, service);
  }
}
