package org.limpetring.entry.net;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Server whose bytes a test scripts, per connection and request; bodies of requests aren't read.
 */
final class ScriptedServer implements AutoCloseable {

  /** Bytes to send for one request. */
  interface Script {
    /** Writes the bytes; throws once the client has closed the connection. */
    void write(OutputStream out, int connection, int request) throws IOException;
  }

  /** Thrown by a script to reset the connection instead of closing it. */
  static final class Reset extends IOException {
    private static final long serialVersionUID = 1;
  }

  /** Small, so that a long request body stays unwritten while the script runs. */
  private static final int RECEIVE_BUFFER_BYTES = 8_192;

  private final ServerSocket socket;
  private final Script script;
  final AtomicInteger connections = new AtomicInteger();
  final AtomicLong closedByClient = new AtomicLong();

  ScriptedServer(Script script) throws IOException {
    this.script = script;
    this.socket = new ServerSocket();
    socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
    socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 50);
    daemonThread(this::accept);
  }

  InetSocketAddress address() {
    return new InetSocketAddress(socket.getInetAddress(), socket.getLocalPort());
  }

  static void text(OutputStream out, String text) throws IOException {
    out.write(text.getBytes(StandardCharsets.ISO_8859_1));
    out.flush();
  }

  private static void daemonThread(Runnable work) {
    Thread thread = new Thread(work, "scripted-server");
    thread.setDaemon(true);
    thread.start();
  }

  private void accept() {
    while (!socket.isClosed()) {
      try {
        Socket connection = socket.accept();
        int number = connections.getAndIncrement();
        daemonThread(() -> serve(connection, number));
      } catch (IOException closed) {
        return;
      }
    }
  }

  private void serve(Socket connection, int number) {
    try (connection) {
      InputStream in = connection.getInputStream();
      for (int request = 0; readHead(in); request++) {
        try {
          script.write(connection.getOutputStream(), number, request);
        } catch (Reset reset) {
          connection.setSoLinger(true, 0);
          return;
        }
      }
      closedByClient.incrementAndGet();
    } catch (IOException closed) {
      closedByClient.incrementAndGet();
    }
  }

  /** Reads to the empty line; returns false at the end of the connection. */
  private static boolean readHead(InputStream in) throws IOException {
    int matched = 0;
    while (matched < 4) {
      int read = in.read();
      if (read < 0) {
        return false;
      }
      matched = read == "\r\n\r\n".charAt(matched) ? matched + 1 : read == '\r' ? 1 : 0;
    }
    return true;
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
