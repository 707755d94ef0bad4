package org.limpetring.store.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.ConnectException;
import java.net.NoRouteToHostException;
import java.net.URI;
import java.net.URISyntaxException;
import java.net.UnknownHostException;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import javax.net.ssl.SSLHandshakeException;
import org.apache.hc.client5.http.ConnectTimeoutException;
import org.apache.hc.client5.http.classic.methods.HttpUriRequestBase;
import org.apache.hc.client5.http.config.ConnectionConfig;
import org.apache.hc.client5.http.config.RequestConfig;
import org.apache.hc.client5.http.impl.classic.CloseableHttpClient;
import org.apache.hc.client5.http.impl.classic.HttpClients;
import org.apache.hc.client5.http.impl.io.PoolingHttpClientConnectionManagerBuilder;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ConnectionRequestTimeoutException;
import org.apache.hc.core5.http.HttpEntity;
import org.apache.hc.core5.net.URIBuilder;
import org.apache.hc.core5.util.TimeValue;
import org.apache.hc.core5.util.Timeout;
import org.jspecify.annotations.Nullable;
import org.limpetring.base.Metrics;

/**
 * HTTP client shared by the adapters to one platform.
 *
 * <p>Each call has a deadline for the whole exchange, after which its connection is closed. Calls
 * are not retried here.
 */
public final class HttpPlatformClient implements AutoCloseable {

  private static final int MAX_RESPONSE_BYTES = 64 * 1024 * 1024;
  private static final int BUFFER_BYTES = 16 * 1024;
  private static final long VALIDATE_AFTER_IDLE_MS = 1_000;

  private final PlatformSettings settings;
  private final CloseableHttpClient client;
  private final ObjectMapper mapper = new ObjectMapper();
  private final ScheduledExecutorService deadlineTimer =
      Executors.newSingleThreadScheduledExecutor(
          task -> {
            Thread thread = new Thread(task, "platform-deadlines");
            thread.setDaemon(true);
            return thread;
          });

  /**
   * Creates a client with the trust settings of the Java runtime; connections are opened on demand.
   */
  public HttpPlatformClient(PlatformSettings settings) {
    this(settings, null);
  }

  /**
   * Creates a client whose {@code https} connections use the given TLS files, if any; connections
   * are opened on demand.
   *
   * @throws IllegalArgumentException if the files cannot be used
   */
  public HttpPlatformClient(PlatformSettings settings, @Nullable PlatformTls tls) {
    this.settings = settings;
    ConnectionConfig connections =
        ConnectionConfig.custom()
            .setConnectTimeout(Timeout.ofMilliseconds(settings.connectTimeoutMs()))
            .setValidateAfterInactivity(TimeValue.ofMilliseconds(VALIDATE_AFTER_IDLE_MS))
            .build();
    PoolingHttpClientConnectionManagerBuilder connectionManager =
        PoolingHttpClientConnectionManagerBuilder.create()
            .setDefaultConnectionConfig(connections)
            .setMaxConnPerRoute(settings.maxConnections())
            .setMaxConnTotal(settings.maxConnections());
    if (tls != null) {
      ReloadingTlsStrategy tlsStrategy = new ReloadingTlsStrategy(tls);
      connectionManager.setTlsSocketStrategy(tlsStrategy);
      var unused =
          deadlineTimer.scheduleWithFixedDelay(
              tlsStrategy::reload,
              tls.reloadIntervalMs(),
              tls.reloadIntervalMs(),
              TimeUnit.MILLISECONDS);
    }
    this.client =
        HttpClients.custom()
            .disableAutomaticRetries()
            .disableRedirectHandling()
            .disableCookieManagement()
            .disableAuthCaching()
            .setConnectionManager(connectionManager.build())
            .build();
  }

  /** Returns a builder of the URI of a call, with the scheme and authority of the base URL. */
  URIBuilder uriBuilder(String path) {
    try {
      return new URIBuilder(settings.baseUrl()).setPath(path);
    } catch (URISyntaxException malformed) {
      throw new IllegalArgumentException("bad platform URL: " + settings.baseUrl(), malformed);
    }
  }

  /** Makes one call with the configured call timeout. */
  HttpResult call(HttpUriRequestBase request) {
    return call(request, settings.callTimeoutMs());
  }

  /** Makes a call whose response the platform may delay by up to {@code waitMs}. */
  HttpResult callLongPoll(HttpUriRequestBase request, long waitMs) {
    return call(request, waitMs + settings.watchSlackMs());
  }

  /** Counts one completed call in the metrics. */
  void countCall(PlatformCall kind, String result) {
    Metrics.PLATFORM_CALLS.labelValues(kind.label(), result).inc();
  }

  /** Closes all connections, so that running calls fail. */
  @Override
  public void close() {
    deadlineTimer.shutdownNow();
    try {
      client.close();
    } catch (IOException ignored) {
      // There is nothing else to release.
    }
  }

  private HttpResult call(HttpUriRequestBase request, long timeoutMs) {
    request.setConfig(
        RequestConfig.custom()
            .setConnectionRequestTimeout(Timeout.ofMilliseconds(settings.connectTimeoutMs()))
            .setResponseTimeout(Timeout.ofMilliseconds(timeoutMs))
            .build());
    Future<?> deadline =
        deadlineTimer.schedule(
            () -> {
              request.cancel();
            },
            timeoutMs,
            TimeUnit.MILLISECONDS);
    try {
      return client.execute(request, this::read);
    } catch (ConnectTimeoutException
        | ConnectException
        | ConnectionRequestTimeoutException
        | NoRouteToHostException
        | UnknownHostException
        | SSLHandshakeException notSent) {
      return new HttpResult.NotSent(describe(notSent));
    } catch (IOException lost) {
      return new HttpResult.Lost(describe(lost));
    } finally {
      deadline.cancel(false);
    }
  }

  private HttpResult read(ClassicHttpResponse response) throws IOException {
    HttpEntity entity = response.getEntity();
    if (entity == null) {
      return new HttpResult.Answered(response.getCode(), MissingNode.getInstance());
    }
    return new HttpResult.Answered(response.getCode(), parse(readBounded(entity)));
  }

  private JsonNode parse(byte[] body) throws IOException {
    try {
      JsonNode node = mapper.readTree(body);
      return node == null ? MissingNode.getInstance() : node;
    } catch (JsonProcessingException notJson) {
      return MissingNode.getInstance();
    }
  }

  private static byte[] readBounded(HttpEntity entity) throws IOException {
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    byte[] buffer = new byte[BUFFER_BYTES];
    try (InputStream in = entity.getContent()) {
      for (int length = in.read(buffer); length >= 0; length = in.read(buffer)) {
        body.write(buffer, 0, length);
        if (body.size() > MAX_RESPONSE_BYTES) {
          throw new IOException("answer longer than " + MAX_RESPONSE_BYTES + " bytes");
        }
      }
    }
    return body.toByteArray();
  }

  private static String describe(IOException failure) {
    return failure.getClass().getSimpleName() + ": " + failure.getMessage();
  }

  /** Builds the URI, which can fail only through a programming error. */
  static URI toUri(URIBuilder builder) {
    try {
      return builder.build();
    } catch (URISyntaxException malformed) {
      throw new IllegalArgumentException(malformed);
    }
  }
}
