package org.limpetring.daemon.operator;

import io.dropwizard.jackson.Jackson;
import io.dropwizard.jersey.DropwizardResourceConfig;
import io.dropwizard.jersey.jackson.JacksonFeature;
import org.glassfish.jersey.servlet.ServletContainer;

/** Servlet for the operator API on the admin port. */
public final class OperatorServlet {

  private OperatorServlet() {}

  /** Servlet that serves {@code resource}. */
  public static ServletContainer of(OperatorResource resource) {
    DropwizardResourceConfig config = new DropwizardResourceConfig();
    config.register(new JacksonFeature(Jackson.newObjectMapper()));
    config.register(resource);
    return new ServletContainer(config);
  }
}
