package org.limpetring.entryd.soak;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/** Caller with a persistent connection. */
final class Caller implements AutoCloseable {

  /** Complete response. */
  record Response(int status, Map<String, String> headers, String body) {}

  private static final int CONNECT_TIMEOUT_MS = 1_000;
  private static final int READ_TIMEOUT_MS = 4_000;

  private final Socket socket = new Socket();
  private final InputStream in;

  Caller(int port) throws IOException {
    socket.connect(
        new InetSocketAddress(InetAddress.getLoopbackAddress(), port), CONNECT_TIMEOUT_MS);
    socket.setSoTimeout(READ_TIMEOUT_MS);
    in = new BufferedInputStream(socket.getInputStream());
  }

  /** Sends a request and reads its response; throws if no complete response arrives. */
  Response send(String path, String id, String key) throws IOException {
    String request =
        "POST %s HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Limpetring-Request-Id: %s\r\nX-Limpetring-Key: %s\r\nX-Limpetring-Model: m\r\nX-Limpetring-Request-Deadline: 3000\r\nContent-Length: 4\r\n\r\nbody"
            .formatted(path, id, key);
    socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
    int status = Integer.parseInt(readLine().split(" ", 3)[1]);
    Map<String, String> headers = new HashMap<>();
    for (String header = readLine(); !header.isEmpty(); header = readLine()) {
      int colon = header.indexOf(':');
      headers.put(
          header.substring(0, colon).toLowerCase(Locale.ROOT), header.substring(colon + 1).trim());
    }
    boolean isChunked = "chunked".equals(headers.get("transfer-encoding"));
    String body =
        isChunked
            ? readChunks()
            : readBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
    return new Response(status, headers, body);
  }

  private String readChunks() throws IOException {
    StringBuilder body = new StringBuilder();
    for (int size = Integer.parseInt(readLine(), 16);
        size > 0;
        size = Integer.parseInt(readLine(), 16)) {
      body.append(readBytes(size));
      readLine();
    }
    readLine();
    return body.toString();
  }

  private String readBytes(int length) throws IOException {
    byte[] bytes = in.readNBytes(length);
    if (bytes.length < length) {
      throw new EOFException("response is truncated");
    }
    return new String(bytes, StandardCharsets.ISO_8859_1);
  }

  private String readLine() throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int next = in.read(); next != '\n'; next = in.read()) {
      if (next < 0) {
        throw new EOFException("response is truncated");
      }
      if (next != '\r') {
        line.write(next);
      }
    }
    return line.toString(StandardCharsets.ISO_8859_1);
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
