import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.ServerSocket;
import java.net.InetAddress;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * One daemon, started with the command of the deploy file and with settings that fill in its
 * template, on a loopback address of its own.
 */
final class DaemonProcess {

  private static final Pattern RUN_LINE = Pattern.compile("(?m)^run = \"(.*)\"$");
  private static final Pattern PLACEHOLDER = Pattern.compile("\\{\\{([a-z_.0-9]+)(\\|json)?}}");

  final String name;
  final String ip;
  final int callerPort;
  final int readyPort;
  private final Path root;
  private final Path directory;
  private final String settings;
  private Process process;

  DaemonProcess(Path root, Path directory, String name, int number, String storeAddress, boolean isFirstStart)
      throws IOException {
    this.root = root;
    this.directory = directory;
    this.name = name;
    // a network of its own for each trial, since the template fixes the metrics port
    long pid = ProcessHandle.current().pid();
    this.ip = "127." + (1 + pid % 250) + '.' + (1 + pid / 250 % 250) + '.' + (10 + number);
    this.callerPort = freePort(ip);
    this.readyPort = freePort(ip);
    Map<String, Object> fields =
        Map.ofEntries(
            Map.entry("node_name", name),
            Map.entry("zone", "zone-a"),
            Map.entry("zones", Map.of("zone-a", "region-a")),
            Map.entry("ip", ip),
            Map.entry("listen.front", ip + ":" + callerPort),
            Map.entry("listen.ready", ip + ":" + readyPort),
            Map.entry("internal_ports.0", freePort(ip)),
            Map.entry("platform.addr", storeAddress),
            Map.entry("bootstrap", isFirstStart),
            Map.entry("heartbeat_ms", 1200),
            Map.entry("limits.max_fds", 4100),
            Map.entry("bounds.drain_ms", 2000),
            Map.entry("bounds.grace_s", 8),
            Map.entry("bounds.stall_ms", 5000),
            Map.entry("bounds.budget_ratio", 0.2),
            Map.entry("bounds.budget_extra", 136),
            Map.entry("bounds.budget_window_s", 10));
    this.settings = fill(Files.readString(root.resolve("platform/settings.template")), fields);
  }

  private static String fill(String template, Map<String, Object> fields) {
    Matcher matcher = PLACEHOLDER.matcher(template);
    StringBuilder out = new StringBuilder();
    while (matcher.find()) {
      Object value = fields.get(matcher.group(1));
      if (value == null) {
        throw new IllegalStateException("the settings template has a new field " + matcher.group(1));
      }
      String text = matcher.group(2) == null ? String.valueOf(value) : Json.write(value);
      matcher.appendReplacement(out, Matcher.quoteReplacement(text));
    }
    return matcher.appendTail(out).toString();
  }

  private static int freePort(String ip) throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(ip))) {
      return socket.getLocalPort();
    }
  }

  void start() throws IOException {
    Path file = directory.resolve(name + ".json");
    Files.writeString(file, settings);
    Matcher run = RUN_LINE.matcher(Files.readString(root.resolve("deploy/system.toml")));
    if (!run.find()) {
      throw new IllegalStateException("no run line in the deploy file");
    }
    List<String> command = new ArrayList<>(List.of(run.group(1).split(" ")));
    ProcessBuilder builder = new ProcessBuilder(command).directory(root.toFile());
    builder.environment().put("LIMPETRING_CONFIG", file.toString());
    builder.redirectErrorStream(true);
    builder.redirectOutput(ProcessBuilder.Redirect.appendTo(directory.resolve(name + ".log").toFile()));
    process = builder.start();
    Runtime.getRuntime().addShutdownHook(new Thread(this::kill));
  }

  /** Waits until the daemon reports itself ready; returns whether it does in time. */
  boolean awaitReady(long timeoutMs) throws InterruptedException {
    long deadlineMs = System.nanoTime() / 1_000_000 + timeoutMs;
    while (System.nanoTime() / 1_000_000 < deadlineMs) {
      if (isReady()) {
        return true;
      }
      Thread.sleep(50);
    }
    return false;
  }

  boolean isReady() {
    try {
      HttpURLConnection call =
          (HttpURLConnection) URI.create("http://" + ip + ":" + readyPort + "/api/ready").toURL().openConnection();
      call.setConnectTimeout(1_000);
      call.setReadTimeout(1_000);
      return call.getResponseCode() == 200;
    } catch (IOException notReady) {
      return false;
    }
  }

  boolean isAlive() {
    return process != null && process.isAlive();
  }

  /** Whether the process runs, and else how it ended. */
  String state() {
    return process.isAlive() ? "running" : "ended by itself with status " + process.exitValue();
  }

  /** Sends a signal to the daemon, which this object started. */
  void signal(String signal) throws IOException, InterruptedException {
    new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
  }

  /** Kills the process and waits for its end. */
  void kill() {
    if (process != null) {
      process.destroyForcibly();
      try {
        process.waitFor();
      } catch (InterruptedException interrupted) {
        Thread.currentThread().interrupt();
      }
    }
  }
}
