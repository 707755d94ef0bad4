package org.limpetring.entryd;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.List;
import org.limpetring.base.Clock;
import org.limpetring.entry.DecisionLog;
import org.limpetring.entry.EntryDaemon;
import org.limpetring.entry.model.EntrySettings;
import org.limpetring.platform.HttpPlatform;

/** Starts daemons in the test's process, on free loopback ports. */
final class EmbeddedDaemon {

  private EmbeddedDaemon() {}

  /** Starts a daemon that discards its log; returns its settings. */
  static EntrySettings start(String name, StandinPlatform store) throws IOException {
    EntrySettings settings =
        new EntrySettings(
            name,
            "a",
            List.of("a"),
            freeAddress(),
            freeAddress(),
            freeDatagramAddress(),
            freeAddress(),
            store.address(),
            true,
            1_200,
            1_000,
            new EntrySettings.Bounds(2_000, 8_000, 5_000, 0.2, 136, 10_000));
    DecisionLog log = new DecisionLog(new ByteArrayOutputStream(), Clock.wall());
    new EntryDaemon(settings, new HttpPlatform(store.address()), log).start();
    return settings;
  }

  private static InetSocketAddress freeAddress() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return (InetSocketAddress) socket.getLocalSocketAddress();
    }
  }

  private static InetSocketAddress freeDatagramAddress() throws IOException {
    try (DatagramSocket socket = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
      return (InetSocketAddress) socket.getLocalSocketAddress();
    }
  }
}
