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
 * Training run for the class data archive: starts a daemon on loopback addresses, sends it a few
 * requests and exits, so that the build can archive the classes that a start loads.
 */
public final class CdsTrainingRun {

  private static final int BASE_PORT = 27_310;
  private static final int PAUSE_MS = 300;
  private static final int MAX_ATTEMPTS = 30;

  private CdsTrainingRun() {}

  /** Runs the program; exit status 0 if the daemon responded to all requests. */
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
      sendGet(settings.readyAddress(), platform.format().readyPath());
      sendGet(settings.metricsAddress(), "/metrics");
      sendGet(settings.callerAddress(), "/rehearsal/");
      Thread.sleep(PAUSE_MS);
      status = 0;
    } finally {
      System.exit(status);
    }
  }

  private static InetSocketAddress address(int offset) {
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), BASE_PORT + offset);
  }

  private static Socket connect(InetSocketAddress address)
      throws IOException, InterruptedException {
    for (int attempt = 1; ; attempt++) {
      try {
        return new Socket(address.getAddress(), address.getPort());
      } catch (IOException notListening) {
        if (attempt == MAX_ATTEMPTS) {
          throw notListening;
        }
        Thread.sleep(PAUSE_MS);
      }
    }
  }

  private static void sendGet(InetSocketAddress address, String path)
      throws IOException, InterruptedException {
    try (Socket socket = connect(address)) {
      String request = "GET " + path + " HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
      socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
      byte[] response = socket.getInputStream().readAllBytes();
      System.out.println(
          new String(response, StandardCharsets.UTF_8).lines().findFirst().orElse(""));
    }
  }
}
