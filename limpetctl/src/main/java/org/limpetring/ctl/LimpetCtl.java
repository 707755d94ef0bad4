package org.limpetring.ctl;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Objects;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.limpetring.base.ResultCode;

/** Entry point of the operators' command line. */
public final class LimpetCtl {

  private static final String HELP =
      """
      limpetctl COMMAND [OPTIONS]

      Commands
        validate --routes FILE --pools FILE   check both tables
        apply TABLE FILE [--if-version N]     write table routes or pools, if its version is N
        get TABLE                             print a table and its version
        diff TABLE FILE                       compare a file with the table in the platform
        out domain|host NAME                  take out of service
        in domain|host NAME                   put back in service
        status                                what a daemon knows of itself and the groups
        explain [--caller C] [--path P] [--method M] [--model M]
                                              where a request would go, and why

      Options
        --platform URL   base URL of the platform (or LIMPET_PLATFORM)
        --daemon URL     base URL of a daemon's admin port (or LIMPET_DAEMON)
        --output FORMAT  text or json
        --help, --version

      Exit codes
        0 done, 1 mistakes in a table, 2 wrong command line, 3 conflict, 4 platform or daemon
        unavailable, 5 the write may have taken effect, 6 not found
      """;

  private LimpetCtl() {}

  /** Runs one command and exits with its exit code. */
  public static void main(String[] arguments) {
    System.exit(run(arguments));
  }

  /** Runs one command; returns its exit code. */
  static int run(String[] arguments) {
    CommandLine line;
    try {
      line = new DefaultParser().parse(options(), arguments);
    } catch (ParseException invalid) {
      System.err.println("limpetctl: " + invalid.getMessage() + "; see --help");
      return ExitCode.USAGE.number();
    }
    if (line.hasOption("help")) {
      System.out.print(HELP);
      return ExitCode.DONE.number();
    }
    if (line.hasOption("version")) {
      System.out.println("limpetctl " + version());
      return ExitCode.DONE.number();
    }
    boolean json = "json".equals(line.getOptionValue("output"));
    Report report = execute(line);
    report.print(json);
    return ExitCode.of(report.code()).number();
  }

  private static Report execute(CommandLine line) {
    List<String> arguments = new ArrayList<>(Arrays.asList(line.getArgs()));
    if (arguments.isEmpty()) {
      return Report.error(ResultCode.USAGE, "no command given");
    }
    Command command = Command.find(arguments.remove(0));
    if (command == null) {
      return Report.error(ResultCode.USAGE, "unknown command");
    }
    if (arguments.size() != command.argumentCount()) {
      return Report.error(
          ResultCode.USAGE, command.keyword() + " takes " + command.argumentCount() + " arguments");
    }
    return command.execute(arguments, new Session(line));
  }

  private static Options options() {
    Options options = new Options();
    for (String name :
        List.of(
            "platform",
            "daemon",
            "output",
            "routes",
            "pools",
            "if-version",
            "caller",
            "path",
            "method",
            "model")) {
      options.addOption(Option.builder().longOpt(name).hasArg().get());
    }
    options.addOption("h", "help", false, "print help");
    options.addOption("v", "version", false, "print the version");
    return options;
  }

  private static String version() {
    return Objects.requireNonNullElse(
        LimpetCtl.class.getPackage().getImplementationVersion(), "development");
  }
}
