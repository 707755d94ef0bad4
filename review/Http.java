import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Head and body of an HTTP/1.1 message as read from a socket. */
final class Http {

  final String startLine;
  final Map<String, String> headers = new TreeMap<>();
  byte[] body = new byte[0];

  private Http(String startLine) {
    this.startLine = startLine;
  }

  /** Reads a head; returns null if the connection ends before its first byte. */
  static Http readHead(InputStream in) throws IOException {
    String line = readLine(in);
    if (line == null) {
      return null;
    }
    Http message = new Http(line);
    for (String header = readLine(in); header != null && !header.isEmpty(); header = readLine(in)) {
      int colon = header.indexOf(':');
      message.headers.put(header.substring(0, colon).toLowerCase(Locale.ROOT), header.substring(colon + 1).trim());
    }
    return message;
  }

  /** Reads a message with a body that has a length or chunks. */
  static Http read(InputStream in) throws IOException {
    Http message = readHead(in);
    if (message == null) {
      return null;
    }
    if (message.header("transfer-encoding").equalsIgnoreCase("chunked")) {
      ByteArrayOutputStream all = new ByteArrayOutputStream();
      for (int size = chunkSize(in); size > 0; size = chunkSize(in)) {
        all.write(readFully(in, size));
        readLine(in);
      }
      readLine(in);
      message.body = all.toByteArray();
    } else if (message.headers.containsKey("content-length")) {
      message.body = readFully(in, Integer.parseInt(message.header("content-length")));
    }
    return message;
  }

  private static int chunkSize(InputStream in) throws IOException {
    String line = readLine(in);
    if (line == null) {
      throw new EOFException("connection ended between chunks");
    }
    return Integer.parseInt(line.trim(), 16);
  }

  private static byte[] readFully(InputStream in, int length) throws IOException {
    byte[] bytes = in.readNBytes(length);
    if (bytes.length < length) {
      throw new EOFException("connection ended after " + bytes.length + " of " + length + " bytes");
    }
    return bytes;
  }

  private static String readLine(InputStream in) throws IOException {
    StringBuilder line = new StringBuilder();
    for (int next = in.read(); next != '\n'; next = in.read()) {
      if (next < 0) {
        if (line.length() == 0) {
          return null;
        }
        throw new EOFException("connection ended inside a line");
      }
      if (next != '\r') {
        line.append((char) next);
      }
    }
    return line.toString();
  }

  String header(String name) {
    return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
  }

  int status() {
    return Integer.parseInt(startLine.split(" ")[1]);
  }

  String text() {
    return new String(body, StandardCharsets.ISO_8859_1);
  }
}
