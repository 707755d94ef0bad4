package org.limpetring.standin.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Objects;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Fields;
import org.jspecify.annotations.Nullable;

/** An HTTP request and its response, read and written by blocking calls. */
public final class Exchange {

  private static final String JSON = "application/json";

  private final Request request;
  private final Response response;
  private final Fields query;

  Exchange(Request request, Response response) {
    this.request = request;
    this.response = response;
    this.query = Request.extractQueryParameters(request);
  }

  /** HTTP method in upper case. */
  public String method() {
    return request.getMethod();
  }

  /** Path without the query. */
  public String path() {
    return Objects.requireNonNullElse(request.getHttpURI().getPath(), "/");
  }

  /** First value of a query parameter, or null. */
  public @Nullable String queryParameter(String name) {
    return query.getValue(name);
  }

  /** Query parameter as a number, or {@code defaultValue} if it is missing. */
  public long queryParameterAsLong(String name, long defaultValue) {
    String value = queryParameter(name);
    return value == null ? defaultValue : Long.parseLong(value);
  }

  /** First value of a header, or null. */
  public @Nullable String header(String name) {
    return request.getHeaders().get(name);
  }

  /** Reads the whole body. */
  public byte[] body() throws IOException {
    try (var stream = Content.Source.asInputStream(request)) {
      return stream.readAllBytes();
    }
  }

  /** Sets a response header; must be called before the first byte is sent. */
  public void setHeader(String name, String value) {
    response.getHeaders().put(name, value);
  }

  /** Sends a complete response with {@code value} as JSON body. */
  public void respond(int status, Object value) throws IOException {
    respond(status, JSON, Json.write(value).getBytes(StandardCharsets.UTF_8));
  }

  /** Sends a complete response. */
  public void respond(int status, String contentType, byte[] body) throws IOException {
    startResponse(status, contentType);
    response.getHeaders().put(HttpHeader.CONTENT_LENGTH, body.length);
    write(true, body);
  }

  /** Sets the status and content type of a response that is sent in parts. */
  public void startResponse(int status, String contentType) {
    response.setStatus(status);
    response.getHeaders().put(HttpHeader.CONTENT_TYPE, contentType);
  }

  /** Sends the next part of the response. */
  public void sendPart(String text) throws IOException {
    write(false, text.getBytes(StandardCharsets.UTF_8));
  }

  /** Ends a response that was sent in parts. */
  public void endResponse() throws IOException {
    write(true, new byte[0]);
  }

  /** Connection that carries this exchange; equal for all requests on it. */
  public Object connection() {
    return endPoint();
  }

  /** Whether the connection is still open at this end. */
  public boolean isOpen() {
    return endPoint().isOpen();
  }

  /** Closes the connection without ending the response. */
  public void abort() {
    endPoint().close();
  }

  private EndPoint endPoint() {
    return request.getConnectionMetaData().getConnection().getEndPoint();
  }

  private void write(boolean isLast, byte[] bytes) throws IOException {
    Content.Sink.write(response, isLast, ByteBuffer.wrap(bytes));
  }
}
