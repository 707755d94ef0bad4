package org.limpetring.tables;

import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.limpetring.base.CallerId;
import org.limpetring.base.PoolName;
import org.limpetring.base.RouteName;

/**
 * Row of the route table: which callers' requests go to which pool.
 *
 * @param name for reports and {@code explain}
 * @param callers callers it applies to; empty means all
 * @param pathPrefix start of the request path
 * @param methods HTTP methods; empty means all
 * @param model model named in the request, or null for any
 * @param pool pool that serves the request
 * @param idempotent whether running the request twice does no harm
 * @param priority passed to engines; higher is served first
 * @param deadlineMs time within which the whole answer is wanted, unless the caller names a shorter
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

  /** Whether a request with these features takes this route. */
  public boolean matches(CallerId caller, String path, String method, @Nullable String wanted) {
    if (!callers.isEmpty() && !callers.contains(caller)) {
      return false;
    }
    if (!path.startsWith(pathPrefix)) {
      return false;
    }
    if (!methods.isEmpty() && !methods.contains(method)) {
      return false;
    }
    return model == null || model.equals(wanted);
  }
}
