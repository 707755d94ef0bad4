package org.limpetring.daemon.caller;

import jakarta.servlet.http.HttpServletResponse;
import java.io.IOException;

/** Response channel over a servlet response. */
final class ServletChannel implements ResponseChannel {

  private final HttpServletResponse response;

  ServletChannel(HttpServletResponse response) {
    this.response = response;
  }

  @Override
  public void header(String name, String value) {
    response.setHeader(name, value);
  }

  @Override
  public void begin(int status, String contentType) {
    response.setStatus(status);
    response.setContentType(contentType);
  }

  @Override
  public void reset() {
    response.reset();
  }

  @Override
  public void write(byte[] bytes) throws IOException {
    response.getOutputStream().write(bytes);
  }

  @Override
  public void flush() throws IOException {
    response.flushBuffer();
  }
}
