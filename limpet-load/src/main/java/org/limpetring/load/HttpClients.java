package org.limpetring.load;

import org.apache.hc.client5.http.config.ConnectionConfig;
import org.apache.hc.client5.http.config.RequestConfig;
import org.apache.hc.client5.http.impl.classic.CloseableHttpClient;
import org.apache.hc.client5.http.impl.classic.HttpClientBuilder;
import org.apache.hc.client5.http.impl.io.PoolingHttpClientConnectionManager;
import org.apache.hc.client5.http.impl.io.PoolingHttpClientConnectionManagerBuilder;
import org.apache.hc.core5.util.TimeValue;
import org.apache.hc.core5.util.Timeout;

/** HTTP clients of the load tool; none retries by itself. */
final class HttpClients {

  private static final int MAX_CONNECTIONS = 10_000;
  private static final long CONNECT_MS = 1_000;
  private static final long CALLER_SILENCE_MS = 30_000;
  private static final long CONTROL_SILENCE_MS = 10_000;
  private static final long VALIDATE_AFTER_MS = 100;

  private HttpClients() {}

  static CloseableHttpClient forCallers() {
    return client(CALLER_SILENCE_MS);
  }

  static CloseableHttpClient forControl() {
    return client(CONTROL_SILENCE_MS);
  }

  private static CloseableHttpClient client(long silenceMs) {
    ConnectionConfig connection =
        ConnectionConfig.custom()
            .setConnectTimeout(Timeout.ofMilliseconds(CONNECT_MS))
            .setSocketTimeout(Timeout.ofMilliseconds(silenceMs))
            .setValidateAfterInactivity(TimeValue.ofMilliseconds(VALIDATE_AFTER_MS))
            .build();
    PoolingHttpClientConnectionManager connections =
        PoolingHttpClientConnectionManagerBuilder.create()
            .setMaxConnTotal(MAX_CONNECTIONS)
            .setMaxConnPerRoute(MAX_CONNECTIONS)
            .setDefaultConnectionConfig(connection)
            .build();
    RequestConfig request =
        RequestConfig.custom().setResponseTimeout(Timeout.ofMilliseconds(silenceMs)).build();
    return HttpClientBuilder.create()
        .setConnectionManager(connections)
        .setDefaultRequestConfig(request)
        .disableAutomaticRetries()
        .disableRedirectHandling()
        .disableContentCompression()
        .build();
  }
}
