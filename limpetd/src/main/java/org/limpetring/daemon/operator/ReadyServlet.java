package org.limpetring.daemon.operator;

import jakarta.servlet.http.HttpServlet;
import jakarta.servlet.http.HttpServletRequest;
import jakarta.servlet.http.HttpServletResponse;
import java.io.IOException;

/** Readiness check for a balancer: 200 while the daemon takes new requests, 503 otherwise. */
public final class ReadyServlet extends HttpServlet {

  private static final long serialVersionUID = 1L;

  private final transient ServingHealth health;

  /** Reports the result of {@code health}. */
  public ReadyServlet(ServingHealth health) {
    this.health = health;
  }

  @Override
  protected void doGet(HttpServletRequest request, HttpServletResponse response)
      throws IOException {
    boolean healthy = health.execute().isHealthy();
    response.setStatus(
        healthy ? HttpServletResponse.SC_OK : HttpServletResponse.SC_SERVICE_UNAVAILABLE);
    response.getWriter().println(healthy ? "ready" : "not ready");
  }
}
