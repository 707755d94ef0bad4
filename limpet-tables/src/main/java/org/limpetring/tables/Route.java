package org.limpetring.tables;

import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.limpetring.base.CallerId;
import org.limpetring.base.PoolName;
import org.limpetring.base.RouteName;

/**
 * Row of the route table: maps the requests of callers to a pool.
 *
 * @param name name in reports and in the output of {@code explain}
 * @param callers callers that the route applies to; empty means all
 * @param pathPrefix prefix of the request path
 * @param methods HTTP methods; empty means all
 * @param model model named in the request, or null for any
 * @param pool pool that serves the request
 * @param idempotent whether a request may be executed more than once
 * @param priority priority passed to engines; higher values are served first
 * @param deadlineMs default deadline for the complete response; a caller may set a shorter one
 */
public record Route(
    RouteName name,
    Set<CallerId> callers,
    String pathPrefix,
    Set<String> methods,
    @Nullable String model,
    PoolName pool,
    boolean idempotent,
    int priority,
    long deadlineMs) {

  /** Copies the sets. */
  public Route {
    callers = Set.copyOf(callers);
    methods = Set.copyOf(methods);
  }

  /** Whether a request with these attributes matches the route. */
  public boolean matches(
      CallerId caller, String path, String method, @Nullable String requestedModel) {
    if (!callers.isEmpty() && !callers.contains(caller)) {
      return false;
    }
    if (!path.startsWith(pathPrefix)) {
      return false;
    }
    if (!methods.isEmpty() && !methods.contains(method)) {
      return false;
    }
    return model == null || model.equals(requestedModel);
  }
}
