import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicInteger;

/** A client's connection to a daemon. */
final class Client implements AutoCloseable {

  private static final AtomicInteger NEXT_ID = new AtomicInteger();

  private final Socket socket = new Socket();
  private final InputStream in;
  private final OutputStream out;

  Client(DaemonProcess daemon) throws IOException {
    this(daemon, 0);
  }

  /** Connects with a receive buffer of that size; 0 for the system's own. */
  Client(DaemonProcess daemon, int receiveBufferBytes) throws IOException {
    if (receiveBufferBytes > 0) {
      socket.setReceiveBufferSize(receiveBufferBytes);
    }
    socket.connect(new InetSocketAddress(daemon.ip, daemon.callerPort), 1_000);
    socket.setTcpNoDelay(true);
    in = new BufferedInputStream(socket.getInputStream());
    out = socket.getOutputStream();
  }

  static String nextId(String prefix) {
    return prefix + "-" + NEXT_ID.incrementAndGet();
  }

  /** Sends a request and returns the complete answer; throws if the connection ends before that. */
  Http call(String method, String path, String id, int deadlineMs, byte[] body, String... moreHeaders)
      throws IOException {
    send(method, path, id, deadlineMs, body, moreHeaders);
    Http answer = Http.read(in);
    if (answer == null) {
      throw new IOException("connection closed without an answer");
    }
    return answer;
  }

  void send(String method, String path, String id, int deadlineMs, byte[] body, String... moreHeaders)
      throws IOException {
    StringBuilder head = new StringBuilder();
    head.append(method).append(' ').append(path).append(" HTTP/1.1\r\n");
    head.append("Host: ").append(Deployment.HOST).append("\r\n");
    head.append("X-Limpetring-Request-Id: ").append(id).append("\r\n");
    head.append("X-Limpetring-Request-Deadline: ").append(deadlineMs).append("\r\n");
    head.append("X-Limpetring-Key: ").append(Deployment.KEY).append("\r\n");
    for (String header : moreHeaders) {
      head.append(header).append("\r\n");
    }
    if (body.length > 0) {
      head.append("Content-Length: ").append(body.length).append("\r\n");
    }
    out.write(PlainRunner.bytes(head.append("\r\n").toString()));
    out.write(body);
    out.flush();
    socket.setSoTimeout(deadlineMs + 2_000);
  }

  InputStream in() {
    return in;
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
