package org.limpetring.entryd;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.limpetring.entry.DecisionLog;
import org.limpetring.entry.EntryDaemon;
import org.limpetring.entry.model.EntrySettings;
import org.limpetring.platform.HttpPlatform;

/**
 * Starts a daemon on loopback, asks it a few questions and ends, so that the build can archive the
 * classes that a start loads.
 */
public final class CdsTrainingRun {

  private static final int FIRST_PORT = 27_310;
  private static final int STEP_MS = 300;
  private static final int MAX_TRIES = 30;

  private CdsTrainingRun() {}

  /** Runs the rehearsal. */
  public static void main(String[] arguments) throws IOException, InterruptedException {
    System.setProperty("io.netty.machineId", "00:00:00:00:00:00:00:01");
    EntrySettings settings =
        new EntrySettings(
            "rehearsal",
            "a",
            List.of("a"),
            address(0),
            address(1),
            address(2),
            address(3),
            address(4),
            true,
            1_000,
            1_000,
            new EntrySettings.Bounds(1_000, 1_000, 1_000, 0.2, 10, 10_000));
    DecisionLog log = DecisionLog.standardOutput();
    HttpPlatform platform = new HttpPlatform(settings.storeAddress());
    new EntryDaemon(settings, platform, log).start();
    int status = 1;
    try {
      ask(settings.readyAddress(), platform.format().readyPath());
      ask(settings.metricsAddress(), "/metrics");
      ask(settings.callerAddress(), "/rehearsal/");
      Thread.sleep(STEP_MS);
      status = 0;
    } finally {
      System.exit(status);
    }
  }

  private static InetSocketAddress address(int offset) {
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), FIRST_PORT + offset);
  }

  private static Socket connect(InetSocketAddress address)
      throws IOException, InterruptedException {
    for (int i = 1; ; i++) {
      try {
        return new Socket(address.getAddress(), address.getPort());
      } catch (IOException notYet) {
        if (i == MAX_TRIES) {
          throw notYet;
        }
        Thread.sleep(STEP_MS);
      }
    }
  }

  private static void ask(InetSocketAddress address, String path)
      throws IOException, InterruptedException {
    try (Socket socket = connect(address)) {
      String request = "GET " + path + " HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
      socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
      byte[] answer = socket.getInputStream().readAllBytes();
      System.out.println(new String(answer, StandardCharsets.UTF_8).lines().findFirst().orElse(""));
    }
  }
}
