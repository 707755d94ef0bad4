import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Configuration of a small deployment, as the operator writes it to the store. */
final class Deployment {

  static final String KEY = "key-of-team-one";
  static final String HOST = "service.example";
  static final long MAX_BODY_BYTES = 4_194_304;

  private Deployment() {}

  /** A route without a model, at {@code /name/}. */
  static Map<String, Object> route(String name, String kind, String service, int attempts, long timeoutMs) {
    return Json.object(
        "name", name, "host", HOST, "prefix", "/" + name + "/", "kind", kind, "service", service,
        "timeout_ms", timeoutMs, "slo_ms", 400, "attempts", attempts, "priority", 1);
  }

  /** A route of resumable streams, at {@code /name/}. */
  static Map<String, Object> streamRoute(String name, String service, long timeoutMs) {
    Map<String, Object> route = route(name, "streaming", service, 2, timeoutMs);
    route.put("resumable", true);
    route.put("gap_aim_ms", 300);
    route.put("session_affinity", true);
    return route;
  }

  static Map<String, Object> plainService(String name) {
    return Json.object("name", name, "health_path", "/health", "max_conns", 110, "cold_s", 0, "cold_per_s", 0);
  }

  static Map<String, Object> config(int version, List<Map<String, Object>> routes, List<Map<String, Object>> services) {
    return Json.object(
        "version", version,
        "routes", new ArrayList<>(routes),
        "services", new ArrayList<>(services),
        "tenants", List.of(Json.object("name", "team-one", "api_keys", List.of(KEY))),
        "limits",
        Json.object(
            "max_header_bytes", 16_384, "max_body_bytes", MAX_BODY_BYTES, "header_timeout_ms", 5_000, "idle_timeout_ms", 10_000));
  }

  /** Entry of a plain runner in the store. */
  static Map<String, Object> entry(String service, String address, int slots, String state, long born) {
    return Json.object(
        "service", service, "addr", address, "zone", "zone-a", "version", "1", "slots", slots,
        "state", state, "cold_left_ms", 0, "sequence", 1, "born", born);
  }
}
