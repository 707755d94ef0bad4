package org.limpetring.entryd.soak;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/** Forwards TCP connections on loopback addresses, and harms them on request. */
final class LoopbackProxy implements AutoCloseable {

  /** What happens to bytes on the way. */
  enum Mode {
    PASS,
    /** Each piece of bytes is held up for {@link #DELAY_MS}. */
    DELAY,
    /** Bytes towards the server vanish; those from it arrive. */
    DEAF,
    /** Bytes vanish both ways; connections stay open. */
    SILENT,
    /** Open connections are reset, and new ones too. */
    RESET
  }

  private static final long DELAY_MS = 60;

  private final ServerSocket listener;
  private final int targetPort;
  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
  private volatile Mode mode = Mode.PASS;

  LoopbackProxy(int targetPort) throws IOException {
    this.targetPort = targetPort;
    this.listener = new ServerSocket(0, 64, InetAddress.getLoopbackAddress());
    start("proxy-" + targetPort, this::accept);
  }

  int port() {
    return listener.getLocalPort();
  }

  void set(Mode next) {
    mode = next;
    if (next == Mode.RESET) {
      sockets.forEach(LoopbackProxy::reset);
    }
  }

  private static void start(String name, Runnable work) {
    Thread thread = new Thread(work, name);
    thread.setDaemon(true);
    thread.start();
  }

  private void accept() {
    while (!listener.isClosed()) {
      try {
        Socket caller = listener.accept();
        if (mode == Mode.RESET) {
          reset(caller);
          continue;
        }
        Socket server = new Socket();
        server.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), targetPort), 1_000);
        sockets.add(caller);
        sockets.add(server);
        start("to-server", () -> forward(caller, server, true));
        start("to-caller", () -> forward(server, caller, false));
      } catch (IOException closed) {
        // the listener or the server is gone; the caller sees its connection end
      }
    }
  }

  private void forward(Socket from, Socket to, boolean isToServer) {
    byte[] buffer = new byte[8_192];
    try (from;
        to) {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
        Mode now = mode;
        if (now == Mode.DELAY) {
          TimeUnit.MILLISECONDS.sleep(DELAY_MS);
        }
        boolean isLost = now == Mode.SILENT || (now == Mode.DEAF && isToServer);
        if (isLost) {
          // later bytes would be out of order: the connection stays silent for good
          in.transferTo(OutputStream.nullOutputStream());
          return;
        }
        out.write(buffer, 0, count);
        out.flush();
      }
    } catch (IOException closed) {
      // one of the two ends is gone; try-with-resources closes the other
    } catch (InterruptedException stop) {
      Thread.currentThread().interrupt();
    } finally {
      sockets.remove(from);
      sockets.remove(to);
    }
  }

  private static void reset(Socket socket) {
    try {
      socket.setSoLinger(true, 0);
      socket.close();
    } catch (IOException closed) {
      // it is gone already
    }
  }

  @Override
  public void close() throws IOException {
    listener.close();
    sockets.forEach(LoopbackProxy::reset);
  }
}
