import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.stream.Stream;

/** What the cases share: the record, the temporary folder and the verdict. */
final class Trial implements AutoCloseable {

  static final int BROKEN = 1;
  static final int HELD = 0;
  static final int COULD_NOT_RUN = 2;

  /** A case, which returns the exit status. */
  interface Body {
    int run(Trial trial) throws Exception;
  }

  final Path root;
  final Path directory;
  final boolean isTrouble = !"0".equals(System.getenv("TROUBLE"));
  private final PrintWriter record;
  private final long startedNs = System.nanoTime();

  private Trial(Path root, Path caseFolder) throws IOException {
    this.root = root;
    this.directory = Files.createTempDirectory("limpetring-review");
    this.record = new PrintWriter(Files.newBufferedWriter(caseFolder.resolve("record.txt")), true);
  }

  /** Runs a case: the arguments are the repository's root and the folder of the case. */
  static void main(String[] arguments, Body body) {
    int status = COULD_NOT_RUN;
    try (Trial trial = new Trial(Path.of(arguments[0]), Path.of(arguments[1]))) {
      try {
        trial.note("trouble %s", trial.isTrouble ? "on" : "off");
        status = body.run(trial);
      } catch (Exception failure) {
        trial.note("the case could not run: %s", failure);
        failure.printStackTrace();
      }
      trial.note(
          "verdict: %s",
          List.of("the rule held", "the rule was broken", "the case could not run").get(status));
    } catch (IOException failure) {
      failure.printStackTrace();
    }
    System.exit(status);
  }

  /** Writes a line with the time since the start to the record. */
  synchronized void note(String format, Object... values) {
    record.printf(
        Locale.ROOT, "%8.3f s  %s%n", (System.nanoTime() - startedNs) / 1e9, String.format(Locale.ROOT, format, values));
  }

  @Override
  public void close() throws IOException {
    record.close();
    if (System.getenv("KEEP_LOGS") == null) {
      try (Stream<Path> files = Files.walk(directory)) {
        files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
      }
    } else {
      System.err.println("logs in " + directory);
    }
  }
}
