package org.limpetring.daemon;

import com.google.inject.Guice;
import com.google.inject.Injector;
import io.dropwizard.core.Application;
import io.dropwizard.core.setup.Bootstrap;
import io.dropwizard.core.setup.Environment;
import io.dropwizard.jetty.SslReload;
import io.prometheus.metrics.exporter.servlet.jakarta.PrometheusMetricsServlet;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Objects;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.apache.commons.cli.help.HelpFormatter;
import org.eclipse.jetty.server.Server;
import org.jboss.logging.Logger;
import org.limpetring.base.Clock;
import org.limpetring.base.LogEvent;
import org.limpetring.daemon.caller.CallerServlet;
import org.limpetring.daemon.caller.LocalRequestPath;
import org.limpetring.daemon.operator.OperatorResource;
import org.limpetring.daemon.operator.OperatorServlet;
import org.limpetring.daemon.operator.ReadyServlet;
import org.limpetring.daemon.operator.ServingHealth;
import org.limpetring.daemon.settings.DaemonConfiguration;
import org.limpetring.daemon.settings.DaemonSettings;
import org.limpetring.daemon.settings.DaemonSettings.TlsFiles;
import org.limpetring.daemon.settings.SettingsConfigurationFactory;
import org.limpetring.daemon.tls.KeyRotation;
import org.limpetring.daemon.wiring.ControlLoops;
import org.limpetring.daemon.wiring.DaemonModule;
import org.limpetring.daemon.wiring.DaemonThreads;

/** Entry point of the daemon: reads the command line and starts Dropwizard. */
public final class LimpetDaemon extends Application<DaemonConfiguration> {

  /** Path of the readiness check for a balancer. */
  public static final String READY_PATH = "/limpet/ready";

  private static final Logger LOGGER = Logger.getLogger(LimpetDaemon.class);
  private static final long KEY_POLL_INTERVAL_MS = 5_000;
  private static final int EXIT_USAGE = 2;
  private static final int EXIT_FAILED = 1;

  /** Runs the daemon; exits with 2 for an invalid command line and 1 for a failed start. */
  public static void main(String[] arguments) throws Exception {
    Options options = options();
    CommandLine line;
    try {
      line = new DefaultParser().parse(options, arguments);
    } catch (ParseException invalid) {
      System.err.println("limpetd: " + invalid.getMessage() + "; see --help");
      System.exit(EXIT_USAGE);
      return;
    }
    if (line.hasOption("help")) {
      HelpFormatter.builder()
          .setShowSince(false)
          .get()
          .printHelp("limpetd --settings FILE", "The daemon on an entry host.", options, "", false);
      return;
    }
    if (line.hasOption("version")) {
      System.out.println("limpetd " + version());
      return;
    }
    String settings = line.getOptionValue("settings");
    if (settings == null) {
      System.err.println("limpetd: --settings is missing; see --help");
      System.exit(EXIT_USAGE);
      return;
    }
    new LimpetDaemon().run("server", settings);
  }

  @Override
  public String getName() {
    return "limpetd";
  }

  @Override
  public void initialize(Bootstrap<DaemonConfiguration> bootstrap) {
    bootstrap.setConfigurationFactoryFactory(
        (type, validator, mapper, prefix) -> new SettingsConfigurationFactory());
  }

  @Override
  public void run(DaemonConfiguration configuration, Environment environment) {
    DaemonSettings settings = configuration.settings();
    Injector injector = Guice.createInjector(new DaemonModule(settings));
    CallerServlet callers =
        new CallerServlet(
            injector.getInstance(LocalRequestPath.class),
            injector.getInstance(Clock.class),
            settings.maxBodyBytes());
    environment.jersey().disable();
    environment.servlets().addServlet("callers", callers).addMapping("/*");
    ServingHealth health = injector.getInstance(ServingHealth.class);
    environment.servlets().addServlet("ready", new ReadyServlet(health)).addMapping(READY_PATH);
    environment.healthChecks().register("serving", health);
    environment
        .admin()
        .addServlet("metrics", new PrometheusMetricsServlet())
        .addMapping("/metrics");
    environment
        .admin()
        .addServlet("operator", OperatorServlet.of(injector.getInstance(OperatorResource.class)))
        .addMapping("/limpet/*");
    injector.getInstance(ControlLoops.class).start();
    environment.lifecycle().addServerLifecycleListener(server -> watchKeys(server, injector));
    environment
        .lifecycle()
        .addServerLifecycleListener(
            injector.getInstance(GracefulShutdown.class)::replaceShutdownHook);
    LogEvent.PROCESS_STARTED.log(
        LOGGER, "limpetd", settings.address() + ":" + settings.callerPort());
  }

  private static void watchKeys(Server server, Injector injector) {
    TlsFiles tls = injector.getInstance(DaemonSettings.class).tls();
    SslReload reload = server.getBean(SslReload.class);
    if (tls == null || reload == null) {
      return;
    }
    try {
      KeyRotation rotation = new KeyRotation(tls, reload);
      injector
          .getInstance(DaemonThreads.class)
          .runPeriodically("keys", KEY_POLL_INTERVAL_MS, rotation::poll);
    } catch (IOException unreadable) {
      throw new UncheckedIOException(unreadable);
    }
  }

  @Override
  protected void onFatalError(Throwable failure) {
    LogEvent.SETTINGS_REJECTED.log(LOGGER, String.valueOf(failure.getMessage()));
    System.err.println(failure.getMessage());
    System.exit(EXIT_FAILED);
  }

  private static Options options() {
    Options options = new Options();
    options.addOption(
        Option.builder("s").longOpt("settings").hasArg().argName("FILE").desc("settings").get());
    options.addOption("h", "help", false, "print this help");
    options.addOption("v", "version", false, "print the version");
    return options;
  }

  private static String version() {
    return Objects.requireNonNullElse(
        LimpetDaemon.class.getPackage().getImplementationVersion(), "development");
  }
}
