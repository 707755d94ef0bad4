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

/** TCP proxy on loopback addresses that injects network faults. */
final class LoopbackProxy implements AutoCloseable {

  /** How the proxy treats the bytes and connections that pass through it. */
  enum Mode {
    PASS,
    /** Each read is delayed by {@link #DELAY_MS}. */
    DELAY,
    /** Bytes to the server are dropped; bytes from it are forwarded. */
    DROP_TO_SERVER,
    /** Bytes are dropped in both directions; connections stay open. */
    SILENT,
    /** Open and new connections are reset. */
    RESET
  }

  private static final long DELAY_MS = 60;

  private final ServerSocket listener;
  private final int targetPort;
  private final Set<Socket> openSockets = ConcurrentHashMap.newKeySet();
  private volatile Mode mode = Mode.PASS;

  LoopbackProxy(int targetPort) throws IOException {
    this.targetPort = targetPort;
    this.listener = new ServerSocket(0, 64, InetAddress.getLoopbackAddress());
    startThread("proxy-" + targetPort, this::accept);
  }

  int port() {
    return listener.getLocalPort();
  }

  void setMode(Mode newMode) {
    mode = newMode;
    if (newMode == Mode.RESET) {
      openSockets.forEach(LoopbackProxy::reset);
    }
  }

  private static void startThread(String name, Runnable task) {
    Thread thread = new Thread(task, name);
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
        openSockets.add(caller);
        openSockets.add(server);
        startThread("to-server", () -> forward(caller, server, true));
        startThread("to-caller", () -> forward(server, caller, false));
      } catch (IOException closed) {
        // the listener or the server is closed; the caller sees its connection end
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
        Mode current = mode;
        if (current == Mode.DELAY) {
          TimeUnit.MILLISECONDS.sleep(DELAY_MS);
        }
        boolean isDropped =
            current == Mode.SILENT || (current == Mode.DROP_TO_SERVER && isToServer);
        if (isDropped) {
          // bytes forwarded later would leave a gap: drop everything until the connection closes
          in.transferTo(OutputStream.nullOutputStream());
          return;
        }
        out.write(buffer, 0, count);
        out.flush();
      }
    } catch (IOException closed) {
      // one of the two sockets is closed; try-with-resources closes the other
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    } finally {
      openSockets.remove(from);
      openSockets.remove(to);
    }
  }

  private static void reset(Socket socket) {
    try {
      socket.setSoLinger(true, 0);
      socket.close();
    } catch (IOException closed) {
      // the socket is already closed
    }
  }

  @Override
  public void close() throws IOException {
    listener.close();
    openSockets.forEach(LoopbackProxy::reset);
  }
}
