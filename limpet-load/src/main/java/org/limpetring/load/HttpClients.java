package org.limpetring.load;

import org.apache.hc.client5.http.config.ConnectionConfig;
import org.apache.hc.client5.http.config.RequestConfig;
import org.apache.hc.client5.http.impl.classic.CloseableHttpClient;
import org.apache.hc.client5.http.impl.classic.HttpClientBuilder;
import org.apache.hc.client5.http.impl.io.PoolingHttpClientConnectionManager;
import org.apache.hc.client5.http.impl.io.PoolingHttpClientConnectionManagerBuilder;
import org.apache.hc.core5.util.TimeValue;
import org.apache.hc.core5.util.Timeout;

/** Factory for the HTTP clients of the load tool, without automatic retries. */
final class HttpClients {

  private static final int MAX_CONNECTIONS = 10_000;
  private static final long CONNECT_TIMEOUT_MS = 1_000;
  private static final long CALLER_READ_TIMEOUT_MS = 30_000;
  private static final long CONTROL_READ_TIMEOUT_MS = 10_000;
  private static final long VALIDATE_AFTER_IDLE_MS = 100;

  private HttpClients() {}

  static CloseableHttpClient forCallers() {
    return newClient(CALLER_READ_TIMEOUT_MS);
  }

  static CloseableHttpClient forControl() {
    return newClient(CONTROL_READ_TIMEOUT_MS);
  }

  private static CloseableHttpClient newClient(long readTimeoutMs) {
    ConnectionConfig connectionConfig =
        ConnectionConfig.custom()
            .setConnectTimeout(Timeout.ofMilliseconds(CONNECT_TIMEOUT_MS))
            .setSocketTimeout(Timeout.ofMilliseconds(readTimeoutMs))
            .setValidateAfterInactivity(TimeValue.ofMilliseconds(VALIDATE_AFTER_IDLE_MS))
            .build();
    PoolingHttpClientConnectionManager connectionManager =
        PoolingHttpClientConnectionManagerBuilder.create()
            .setMaxConnTotal(MAX_CONNECTIONS)
            .setMaxConnPerRoute(MAX_CONNECTIONS)
            .setDefaultConnectionConfig(connectionConfig)
            .build();
    RequestConfig requestConfig =
        RequestConfig.custom().setResponseTimeout(Timeout.ofMilliseconds(readTimeoutMs)).build();
    return HttpClientBuilder.create()
        .setConnectionManager(connectionManager)
        .setDefaultRequestConfig(requestConfig)
        .disableAutomaticRetries()
        .disableRedirectHandling()
        .disableContentCompression()
        .build();
  }
}
