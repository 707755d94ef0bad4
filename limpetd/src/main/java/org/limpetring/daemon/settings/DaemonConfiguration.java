package org.limpetring.daemon.settings;

import ch.qos.logback.classic.Level;
import io.dropwizard.core.Configuration;
import io.dropwizard.core.server.DefaultServerFactory;
import io.dropwizard.jetty.HttpConnectorFactory;
import io.dropwizard.logging.common.ConsoleAppenderFactory;
import io.dropwizard.logging.common.DefaultLoggingFactory;
import io.dropwizard.logging.json.EventJsonLayoutBaseFactory;
import io.dropwizard.request.logging.LogbackAccessRequestLogFactory;
import io.dropwizard.util.Duration;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.jspecify.annotations.Nullable;
import org.limpetring.daemon.settings.DaemonSettings.TlsFiles;
import org.limpetring.daemon.tls.PemHttpsConnectorFactory;

/** Dropwizard configuration that is built from the settings of the daemon. */
public final class DaemonConfiguration extends Configuration {

  private static final int ADMIN_THREADS = 16;
  private static final int ACCEPT_QUEUE = 1_024;

  private final @Nullable DaemonSettings settings;

  /** Required by Dropwizard's reflection; not used otherwise. */
  public DaemonConfiguration() {
    this.settings = null;
  }

  /** Configures connectors and logging by {@code settings}. */
  public DaemonConfiguration(DaemonSettings settings) {
    this.settings = settings;
    setServerFactory(server(settings));
    setLoggingFactory(logging());
  }

  /** Settings from which this configuration was built. */
  public DaemonSettings settings() {
    return Objects.requireNonNull(settings);
  }

  private static DefaultServerFactory server(DaemonSettings settings) {
    DefaultServerFactory server = new DefaultServerFactory();
    TlsFiles tls = settings.tls();
    HttpConnectorFactory application =
        tls == null ? new HttpConnectorFactory() : new PemHttpsConnectorFactory(tls);
    bind(application, settings.address(), settings.callerPort());
    HttpConnectorFactory admin = new HttpConnectorFactory();
    bind(admin, settings.address(), settings.adminPort());
    server.setApplicationConnectors(List.of(application));
    server.setAdminConnectors(List.of(admin));
    server.setMaxThreads(settings.maxThreads());
    server.setAdminMaxThreads(ADMIN_THREADS);
    server.setAdminMinThreads(1);
    server.setShutdownGracePeriod(Duration.milliseconds(settings.graceMs()));
    LogbackAccessRequestLogFactory requestLog = new LogbackAccessRequestLogFactory();
    requestLog.setAppenders(List.of());
    server.setRequestLogFactory(requestLog);
    return server;
  }

  private static void bind(HttpConnectorFactory connector, String address, int port) {
    connector.setBindHost(address);
    connector.setPort(port);
    connector.setAcceptQueueSize(ACCEPT_QUEUE);
  }

  private static DefaultLoggingFactory logging() {
    ConsoleAppenderFactory<ch.qos.logback.classic.spi.ILoggingEvent> console =
        new ConsoleAppenderFactory<>();
    console.setLayout(new EventJsonLayoutBaseFactory());
    DefaultLoggingFactory logging = new DefaultLoggingFactory();
    logging.setLevel(Level.WARN.toString());
    logging.setLoggers(
        Map.of("org.limpetring", new com.fasterxml.jackson.databind.node.TextNode("INFO")));
    logging.setAppenders(List.of(console));
    return logging;
  }
}
