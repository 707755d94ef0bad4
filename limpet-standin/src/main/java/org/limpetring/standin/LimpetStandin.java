package org.limpetring.standin;

import ch.qos.logback.classic.Level;
import io.dropwizard.logging.common.BootstrapLogging;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Objects;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.apache.commons.cli.help.HelpFormatter;
import org.jboss.logging.Logger;
import org.jspecify.annotations.Nullable;
import org.limpetring.base.LogEvent;
import org.limpetring.standin.http.Json;

/** Entry point: runs the stand-ins defined by the settings file until the process is stopped. */
public final class LimpetStandin {

  private static final int EXIT_USAGE = 2;
  private static final int EXIT_FAILED = 1;

  private LimpetStandin() {}

  /** Runs the program. */
  public static void main(String[] arguments) throws IOException {
    BootstrapLogging.bootstrap(Level.INFO);
    Options options = options();
    try {
      CommandLine commandLine = new DefaultParser().parse(options, arguments);
      if (commandLine.hasOption("help")) {
        printHelp(options);
      } else if (commandLine.hasOption("version")) {
        System.out.println("limpet-standin " + version());
      } else {
        run(commandLine.getOptionValue("settings"));
      }
    } catch (ParseException invalidArguments) {
      System.err.println(invalidArguments.getMessage());
      System.exit(EXIT_USAGE);
    }
  }

  private static void run(@Nullable String file) throws ParseException {
    if (file == null) {
      throw new ParseException("--settings FILE is missing");
    }
    Logger logger = Logger.getLogger(LimpetStandin.class);
    try {
      StandinSettings settings = Json.readFile(Path.of(file), StandinSettings.class);
      Standin standin = Standin.start(settings);
      Runtime.getRuntime().addShutdownHook(new Thread(standin::close, "stop"));
      LogEvent.PROCESS_STARTED.log(logger, "limpet-standin", settings.control());
    } catch (IOException failure) {
      LogEvent.SETTINGS_REJECTED.log(logger, failure.toString());
      System.exit(EXIT_FAILED);
    }
  }

  private static Options options() {
    Options options = new Options();
    options.addOption("s", "settings", true, "settings file, JSON with comments");
    options.addOption("h", "help", false, "print this help");
    options.addOption("v", "version", false, "print the version");
    return options;
  }

  private static void printHelp(Options options) throws IOException {
    HelpFormatter.builder()
        .setShowSince(false)
        .get()
        .printHelp("limpet-standin --settings FILE", "", options, "", false);
  }

  private static String version() {
    return Objects.requireNonNullElse(
        LimpetStandin.class.getPackage().getImplementationVersion(), "development");
  }
}
