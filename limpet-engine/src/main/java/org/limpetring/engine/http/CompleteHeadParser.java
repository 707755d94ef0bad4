package org.limpetring.engine.http;

import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ConnectionClosedException;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.io.DefaultHttpResponseParser;
import org.apache.hc.core5.http.io.SessionInputBuffer;

/**
 * Parser of response heads that fails if the connection ends inside a head.
 *
 * <p>The library's parser takes the end of the connection for the end of the head, which makes a
 * broken-off head a complete response without a body.
 */
final class CompleteHeadParser extends DefaultHttpResponseParser {

  CompleteHeadParser(Http1Config config) {
    super(config);
  }

  @Override
  public ClassicHttpResponse parse(SessionInputBuffer buffer, InputStream input)
      throws IOException, HttpException {
    return super.parse(buffer, new HeadInput(input));
  }

  /** Input of a head; the parser reads on only while the head is incomplete. */
  private static final class HeadInput extends FilterInputStream {

    HeadInput(InputStream input) {
      super(input);
    }

    @Override
    public int read() throws IOException {
      return requireByte(super.read());
    }

    @Override
    public int read(byte[] bytes, int offset, int length) throws IOException {
      return requireByte(super.read(bytes, offset, length));
    }

    private static int requireByte(int result) throws ConnectionClosedException {
      if (result < 0) {
        throw new ConnectionClosedException("connection ended inside a response head");
      }
      return result;
    }
  }
}
