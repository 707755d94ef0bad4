package org.limpetring.routing.choose;

import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.limpetring.base.CallerId;
import org.limpetring.tables.AcceptedConfig;
import org.limpetring.tables.Route;

/** Finds the route of a request in the accepted configuration; the first match wins. */
public final class RouteMatcher {

  private RouteMatcher() {}

  /**
   * Returns the first matching route, or empty if there is none.
   *
   * @param model model named in the request, or null
   */
  public static Optional<Route> match(
      AcceptedConfig config, CallerId caller, String path, String method, @Nullable String model) {
    for (Route route : config.routes().routes()) {
      if (route.matches(caller, path, method, model)) {
        return Optional.of(route);
      }
    }
    return Optional.empty();
  }
}
