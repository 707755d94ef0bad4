package org.limpetring.load;

import ch.qos.logback.classic.Level;
import io.dropwizard.logging.common.BootstrapLogging;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Objects;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.apache.commons.cli.help.HelpFormatter;
import org.apache.hc.client5.http.impl.classic.CloseableHttpClient;
import org.limpetring.load.call.Caller;
import org.limpetring.load.report.Plot;
import org.limpetring.load.report.Report;
import org.limpetring.load.report.TextReport;
import org.limpetring.load.schedule.Experiment;
import org.limpetring.standin.http.Json;
import org.limpetring.store.HostList;
import org.limpetring.store.http.HttpHostList;
import org.limpetring.store.http.HttpObjectStore;
import org.limpetring.store.http.HttpPlatformClient;
import org.limpetring.store.http.PlatformSettings;

/** Command-line program that runs an experiment and writes its report as JSON, text and a plot. */
public final class LimpetLoad {

  private static final int EXIT_FAILED = 1;
  private static final int EXIT_USAGE = 2;
  private static final int EXIT_GUARANTEE_VIOLATED = 3;

  private LimpetLoad() {}

  /** Runs the program and exits with its status. */
  public static void main(String[] arguments) throws IOException {
    BootstrapLogging.bootstrap(Level.WARN);
    System.setProperty("java.awt.headless", "true");
    System.exit(run(arguments));
  }

  private static int run(String[] arguments) throws IOException {
    Options options = options();
    try {
      CommandLine commandLine = new DefaultParser().parse(options, arguments);
      if (commandLine.hasOption("help")) {
        printHelp(options);
        return 0;
      }
      if (commandLine.hasOption("version")) {
        System.out.println("limpet-load " + version());
        return 0;
      }
      String file = commandLine.getOptionValue("experiment");
      if (file == null) {
        throw new ParseException("--experiment FILE is missing");
      }
      Experiment experiment = Json.readFile(Path.of(file), Experiment.class);
      Report report = runExperiment(experiment, LimpetLoad::requestSignal);
      writeReport(report, Path.of(commandLine.getOptionValue("out", ".")));
      return report.pass() ? 0 : EXIT_GUARANTEE_VIOLATED;
    } catch (ParseException exception) {
      System.err.println(exception.getMessage());
      return EXIT_USAGE;
    } catch (IOException failure) {
      System.err.println("limpet-load: " + failure.getMessage());
      return EXIT_FAILED;
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
      return EXIT_FAILED;
    }
  }

  /** Prints a request for a signal; the script that started the processes reads it and sends it. */
  private static void requestSignal(String signal, String process) {
    System.out.println("SIGNAL " + signal + " " + process);
    System.out.flush();
  }

  /** Runs {@code experiment} against the processes that it names. */
  static Report runExperiment(Experiment experiment, SignalSender signals)
      throws IOException, InterruptedException {
    try (CloseableHttpClient callerClient = HttpClients.forCallers();
        CloseableHttpClient controlClient = HttpClients.forControl();
        HttpPlatformClient platform =
            new HttpPlatformClient(PlatformSettings.withDefaults(experiment.platform()))) {
      if (!(new HttpHostList(platform).read() instanceof HostList.Result.Hosts hosts)) {
        throw new IOException(
            "cannot read the list of hosts from the platform at " + experiment.platform());
      }
      StandinClient standin = new StandinClient(controlClient, experiment.standin());
      StepRunner steps =
          new StepRunner(standin, new HttpObjectStore(platform), hosts.hosts(), signals);
      Caller caller = new Caller(callerClient, experiment.daemons(), experiment.tries());
      return new ExperimentRun(experiment, caller, standin, steps, System.out).run();
    }
  }

  private static void writeReport(Report report, Path directory) throws IOException {
    Files.createDirectories(directory);
    String text = TextReport.write(report);
    Files.writeString(directory.resolve(report.experiment() + ".json"), Json.write(report));
    Files.writeString(directory.resolve(report.experiment() + ".txt"), text);
    Plot.write(report, directory.resolve(report.experiment() + ".png"));
    System.out.print(text);
  }

  private static Options options() {
    Options options = new Options();
    options.addOption("e", "experiment", true, "experiment file, JSON with comments");
    options.addOption("o", "out", true, "directory for the report");
    options.addOption("h", "help", false, "print this help");
    options.addOption("v", "version", false, "print the version");
    return options;
  }

  private static void printHelp(Options options) throws IOException {
    HelpFormatter.builder()
        .setShowSince(false)
        .get()
        .printHelp("limpet-load --experiment FILE [--out DIRECTORY]", "", options, "", false);
  }

  private static String version() {
    return Objects.requireNonNullElse(
        LimpetLoad.class.getPackage().getImplementationVersion(), "development");
  }
}
