import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Stand-in for a runner of a plain service: hands each connection to a handler on its own thread. */
final class PlainRunner {

  /** Serves the requests of one connection. */
  interface Handler {
    void serve(Socket socket, InputStream in, OutputStream out) throws Exception;
  }

  final String id;
  private final ServerSocket listener;

  PlainRunner(String id, int receiveBufferBytes, Handler handler) throws IOException {
    this.id = id;
    listener = new ServerSocket();
    if (receiveBufferBytes > 0) {
      listener.setReceiveBufferSize(receiveBufferBytes);
    }
    listener.bind(new java.net.InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 256);
    daemonThread(() -> accept(handler), id);
  }

  static void daemonThread(Runnable task, String name) {
    Thread thread = new Thread(task, name);
    thread.setDaemon(true);
    thread.start();
  }

  private void accept(Handler handler) {
    while (!listener.isClosed()) {
      try {
        Socket socket = listener.accept();
        daemonThread(() -> serve(socket, handler), id + "-connection");
      } catch (IOException closed) {
        return;
      }
    }
  }

  private static void serve(Socket socket, Handler handler) {
    try (socket) {
      socket.setTcpNoDelay(true);
      handler.serve(socket, new BufferedInputStream(socket.getInputStream()), socket.getOutputStream());
    } catch (Exception ended) {
      // the peer closed the connection, or the handler ended it
    }
  }

  String address() {
    return "127.0.0.1:" + listener.getLocalPort();
  }

  void close() throws IOException {
    listener.close();
  }

  static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }
}
