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

/** Entry point: runs an experiment and writes its report as JSON, text and a plot. */
public final class LimpetLoad {

  private static final int EXIT_FAILED = 1;
  private static final int EXIT_USAGE = 2;
  private static final int EXIT_BROKEN_PROMISE = 3;

  private LimpetLoad() {}

  /** Runs the program. */
  public static void main(String[] arguments) throws IOException {
    BootstrapLogging.bootstrap(Level.WARN);
    System.setProperty("java.awt.headless", "true");
    System.exit(run(arguments));
  }

  private static int run(String[] arguments) throws IOException {
    Options options = options();
    try {
      CommandLine line = new DefaultParser().parse(options, arguments);
      if (line.hasOption("help")) {
        help(options);
        return 0;
      }
      if (line.hasOption("version")) {
        System.out.println("limpet-load " + version());
        return 0;
      }
      String file = line.getOptionValue("experiment");
      if (file == null) {
        throw new ParseException("--experiment FILE is missing");
      }
      Experiment experiment = Json.readFile(Path.of(file), Experiment.class);
      Report report = runExperiment(experiment, LimpetLoad::askForSignal);
      write(report, Path.of(line.getOptionValue("out", ".")));
      return report.pass() ? 0 : EXIT_BROKEN_PROMISE;
    } catch (ParseException mistake) {
      System.err.println(mistake.getMessage());
      return EXIT_USAGE;
    } catch (IOException failure) {
      System.err.println("limpet-load: " + failure.getMessage());
      return EXIT_FAILED;
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
      return EXIT_FAILED;
    }
  }

  /** Asks the script that started the processes, which reads this program's output. */
  private static void askForSignal(String signal, String process) {
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
        throw new IOException("the platform does not answer at " + experiment.platform());
      }
      StandinClient standin = new StandinClient(controlClient, experiment.standin());
      StepRunner steps =
          new StepRunner(standin, new HttpObjectStore(platform), hosts.hosts(), signals);
      Caller caller = new Caller(callerClient, experiment.daemons(), experiment.tries());
      return new ExperimentRun(experiment, caller, standin, steps, System.out).run();
    }
  }

  private static void write(Report report, Path directory) throws IOException {
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

  private static void help(Options options) throws IOException {
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
