package org.limpetring.entryd.soak;

import java.io.File;
import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.limpetring.entryd.EntryDaemonMain;

/** Daemon in a separate process that can be signalled and restarted. */
final class DaemonProcess implements AutoCloseable {

  private static final String SETTINGS_TEMPLATE =
      """
      {"daemonName": "%s", "failureDomain": "a", "failureDomains": ["a"],
       "callerAddress": "127.0.0.1:%d", "readyAddress": "127.0.0.1:%d",
       "peerAddress": "127.0.0.1:%d", "metricsAddress": "127.0.0.1:%d",
       "storeAddress": "127.0.0.1:%d", "isFirstStart": true, "heartbeatMs": 1200,
       "maxDescriptors": 1000,
       "bounds": {"leaveMs": 2000, "graceS": 8, "stallMs": 5000, "repeatRatio": 0.2,
                  "repeatExtra": 136, "repeatWindowS": 10}}
      """;

  private final String name;
  private final Path directory;
  private final int callerPort;
  private Process process;
  private volatile boolean isStopping;

  DaemonProcess(String name, Path directory, int storePort) throws IOException {
    this.name = name;
    this.directory = directory;
    this.callerPort = freePort();
    Files.writeString(
        directory.resolve(name + ".json"),
        SETTINGS_TEMPLATE.formatted(
            name, callerPort, freePort(), freeDatagramPort(), freePort(), storePort));
    this.process = launch();
  }

  private static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return socket.getLocalPort();
    }
  }

  private static int freeDatagramPort() throws IOException {
    try (DatagramSocket socket = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
      return socket.getLocalPort();
    }
  }

  private Process launch() throws IOException {
    File log = directory.resolve(name + ".log").toFile();
    return new ProcessBuilder(
            Path.of(System.getProperty("java.home"), "bin", "java").toString(),
            "-Xmx64m",
            "-Xss256k",
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-cp",
            System.getProperty("java.class.path"),
            EntryDaemonMain.class.getName(),
            "--settings",
            directory.resolve(name + ".json").toString())
        .redirectErrorStream(true)
        .redirectOutput(ProcessBuilder.Redirect.appendTo(log))
        .start();
  }

  int callerPort() {
    return callerPort;
  }

  boolean isRunning() {
    return process.isAlive();
  }

  /** Whether a planned stop was begun after which the daemon was not started again. */
  boolean isStopping() {
    return isStopping;
  }

  void signal(String signal) throws IOException, InterruptedException {
    isStopping = isStopping || signal.equals("TERM");
    new ProcessBuilder(List.of("kill", "-" + signal, Long.toString(process.pid())))
        .start()
        .waitFor(2, TimeUnit.SECONDS);
  }

  void kill() {
    process.destroyForcibly();
  }

  void restartIfExited() throws IOException {
    if (!process.isAlive()) {
      process = launch();
      isStopping = false;
    }
  }

  @Override
  public void close() {
    kill();
  }
}
