package org.limpetring.load;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.google.common.hash.Hashing;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import org.awaitility.Awaitility;
import org.limpetring.standin.Standin;
import org.limpetring.standin.StandinSettings;
import org.limpetring.standin.StandinSettings.Engine;
import org.limpetring.standin.StandinSettings.Host;
import org.limpetring.standin.StandinSettings.PlainService;
import org.limpetring.standin.StandinSettings.Platform;
import org.limpetring.standin.StandinSettings.Socket;
import org.limpetring.standin.StandinSettings.Weights;
import org.limpetring.standin.http.Json;
import org.limpetring.store.WriteResult;
import org.limpetring.store.http.HttpObjectStore;
import org.limpetring.store.http.HttpPlatformClient;
import org.limpetring.store.http.PlatformSettings;
import org.limpetring.tables.ConfigKeys;

/** Three daemon processes, with stand-ins for two failure domains in the process of the test. */
final class ProcessCluster implements SignalSender, AutoCloseable {

  static final String KEY = "toolroom-key";

  private static final int DAEMONS = 3;
  private static final int HOSTS_PER_DOMAIN = 4;
  private static final List<String> DOMAINS = List.of("north", "east");
  private static final Duration START_TIMEOUT = Duration.ofSeconds(30);

  private final Path directory;
  private final int port = freePort();
  private final int adminPort = freePort();
  private final int peerPort = freePort();
  private final Map<String, Process> processes = new HashMap<>();
  private final Standin standin;

  /** Starts the stand-ins. Settings and logs of the daemons are written to {@code directory}. */
  ProcessCluster(Path directory) throws IOException {
    this.directory = directory;
    this.standin = Standin.start(standinSettings());
  }

  /** Applies the tables, starts all daemons and waits until each is ready. */
  void start() throws IOException {
    applyTables();
    for (int number = 1; number <= DAEMONS; number++) {
      startDaemon(daemonName(number));
    }
    awaitDaemons();
  }

  static String daemonName(int number) {
    return "limpetd-" + number;
  }

  List<String> daemonUrls() {
    List<String> urls = new ArrayList<>();
    for (int number = 1; number <= DAEMONS; number++) {
      urls.add(url(daemonAddress(number)));
    }
    return urls;
  }

  String platformUrl() {
    return url("127.0.5.1");
  }

  String controlUrl() {
    return url("127.0.5.2");
  }

  /** Starts each daemon that is not running, and waits until all are ready. */
  void restartStoppedDaemons() throws IOException {
    for (int number = 1; number <= DAEMONS; number++) {
      if (!Objects.requireNonNull(processes.get(daemonName(number))).isAlive()) {
        startDaemon(daemonName(number));
      }
    }
    awaitDaemons();
  }

  @Override
  public void send(String signal, String process) throws IOException {
    long pid = Objects.requireNonNull(processes.get(process)).pid();
    try {
      int status = new ProcessBuilder("kill", "-" + signal, Long.toString(pid)).start().waitFor();
      if (status != 0) {
        throw new IOException("kill -" + signal + " " + pid + " failed");
      }
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
      throw new IOException(interrupted);
    }
  }

  @Override
  public void close() throws InterruptedException {
    for (Process process : processes.values()) {
      process.destroyForcibly();
    }
    for (Process process : processes.values()) {
      process.waitFor(10, TimeUnit.SECONDS);
    }
    standin.close();
  }

  private void startDaemon(String name) throws IOException {
    int number = Integer.parseInt(name.substring(name.length() - 1));
    DaemonFile file =
        new DaemonFile(
            name,
            daemonAddress(number),
            port,
            adminPort,
            peerPort,
            DOMAINS.get(number % DOMAINS.size()),
            platformUrl(),
            2_000,
            100);
    Path settings = directory.resolve(name + ".json");
    Files.writeString(settings, Json.write(file));
    String classPath =
        System.getProperty("surefire.test.class.path", System.getProperty("java.class.path"));
    Process process =
        new ProcessBuilder(
                "java",
                "-Xmx192m",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-cp",
                classPath,
                "org.limpetring.daemon.LimpetDaemon",
                "--settings",
                settings.toString())
            .redirectErrorStream(true)
            .redirectOutput(directory.resolve(name + ".log").toFile())
            .start();
    processes.put(name, process);
  }

  private void awaitDaemons() {
    for (String daemon : daemonUrls()) {
      Awaitility.await(daemon)
          .atMost(START_TIMEOUT)
          .until(() -> status(daemon + "/limpet/ready") == HttpURLConnection.HTTP_OK);
    }
  }

  private static int status(String address) {
    try {
      HttpURLConnection connection =
          (HttpURLConnection) URI.create(address).toURL().openConnection();
      connection.setConnectTimeout(1_000);
      connection.setReadTimeout(1_000);
      return connection.getResponseCode();
    } catch (IOException notReady) {
      return 0;
    }
  }

  private void applyTables() {
    String keySha256 = Hashing.sha256().hashString(KEY, StandardCharsets.UTF_8).toString();
    String routes =
        "{\"callers\":[{\"name\":\"toolroom\",\"keySha256\":\""
            + keySha256
            + "\"}],\"routes\":["
            + "{\"name\":\"plans\",\"pathPrefix\":\"/v1/\",\"pool\":\"plans\",\"idempotent\":true,"
            + "\"deadlineMs\":20000},"
            + "{\"name\":\"stock\",\"pathPrefix\":\"/stock/\",\"pool\":\"stores\","
            + "\"idempotent\":true,\"deadlineMs\":5000},"
            + "{\"name\":\"orders\",\"pathPrefix\":\"/orders\",\"pool\":\"stores\","
            + "\"idempotent\":false,\"deadlineMs\":5000}]}";
    PoolFile pools =
        new PoolFile(
            List.of(
                new PoolRow("plans", "northworks", "chat-engine", "m", engineNames(), port, 2),
                new PoolRow("stores", "stores", "plain-service", "", serviceNames(), port, 1)));
    try (HttpPlatformClient client =
        new HttpPlatformClient(PlatformSettings.withDefaults(platformUrl()))) {
      HttpObjectStore store = new HttpObjectStore(client);
      put(store, ConfigKeys.POOLS, Json.write(pools));
      put(store, ConfigKeys.ROUTES, routes);
    }
  }

  private static void put(HttpObjectStore store, String key, String value) {
    WriteResult result = store.put(key, value, 0);
    if (!(result instanceof WriteResult.Written)) {
      throw new IllegalStateException(key + ": " + result);
    }
  }

  private StandinSettings standinSettings() {
    List<Host> hosts = new ArrayList<>();
    List<Engine> engines = new ArrayList<>();
    List<PlainService> services = new ArrayList<>();
    for (int domain = 0; domain < DOMAINS.size(); domain++) {
      String name = DOMAINS.get(domain);
      for (int number = 1; number <= HOSTS_PER_DOMAIN; number++) {
        String address = "127.0.5." + (100 + 20 * domain + number);
        hosts.add(new Host(name + "-" + number, address, name, name + "-fabric", 4));
        engines.add(new Engine(name + "-" + number, address, port, true, 200, 300, 16, 2, 20, 10));
      }
      String address = "127.0.5." + (100 + 20 * domain);
      hosts.add(new Host(name + "-stores", address, name, name + "-fabric", 0));
      services.add(new PlainService(name + "-stores", address, port, 5));
    }
    Platform platform =
        new Platform("127.0.5.1", port, 500, hosts, 0, List.of(new Weights("m", "1", 200)));
    return new StandinSettings(new Socket("127.0.5.2", port), platform, engines, services);
  }

  private static List<String> engineNames() {
    List<String> names = new ArrayList<>();
    for (String domain : DOMAINS) {
      for (int number = 1; number <= HOSTS_PER_DOMAIN; number++) {
        names.add(domain + "-" + number);
      }
    }
    return names;
  }

  private static List<String> serviceNames() {
    return DOMAINS.stream().map(domain -> domain + "-stores").toList();
  }

  private String url(String address) {
    return "http://" + address + ":" + port;
  }

  private static String daemonAddress(int number) {
    return "127.0.5." + (10 + number);
  }

  private static int freePort() {
    try (ServerSocket socket = new ServerSocket(0)) {
      return socket.getLocalPort();
    } catch (IOException failure) {
      throw new IllegalStateException(failure);
    }
  }

  private record DaemonFile(
      String name,
      String address,
      int callerPort,
      int adminPort,
      int peerPort,
      String failureDomain,
      String platformUrl,
      long graceMs,
      long balancerDelayMs) {}

  private record PoolFile(List<PoolRow> pools) {}

  @JsonInclude(JsonInclude.Include.NON_EMPTY)
  private record PoolRow(
      String name,
      String supplier,
      String adapter,
      String model,
      List<String> hosts,
      int port,
      int groupSize) {}
}
