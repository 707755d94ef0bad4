package org.limpetring.engine.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import org.apache.hc.client5.http.classic.methods.HttpGet;
import org.apache.hc.client5.http.classic.methods.HttpPost;
import org.apache.hc.client5.http.classic.methods.HttpUriRequestBase;
import org.apache.hc.client5.http.config.RequestConfig;
import org.apache.hc.client5.http.impl.classic.CloseableHttpClient;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.io.entity.EntityUtils;
import org.apache.hc.core5.http.io.entity.StringEntity;
import org.apache.hc.core5.util.Timeout;
import org.limpetring.base.RequestId;
import org.limpetring.groups.MemberOrder;
import org.limpetring.groups.MemberReport;
import org.limpetring.groups.OrderResult;
import org.limpetring.groups.ReportResult;

/**
 * Client of the control interface of upstreams: orders, reports and cancellations as JSON calls.
 */
final class ControlClient {

  private static final int MAX_RESPONSE_BYTES = 65_536;
  private static final JsonMapper MAPPER =
      JsonMapper.builder().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES).build();

  private final CloseableHttpClient client;
  private final long timeoutMs;

  ControlClient(CloseableHttpClient client, long timeoutMs) {
    this.client = client;
    this.timeoutMs = timeoutMs;
  }

  ReportResult report(String address) {
    try {
      ControlResponse response = call(new HttpGet(url(address, "report")));
      if (response.status() != HttpStatus.SC_OK) {
        return new ReportResult.Missing("status " + response.status());
      }
      return new ReportResult.Reported(MAPPER.readValue(response.body(), MemberReport.class));
    } catch (IOException | RuntimeException failed) {
      return new ReportResult.Missing(String.valueOf(failed.getMessage()));
    }
  }

  OrderResult order(String address, MemberOrder order) {
    HttpPost post = new HttpPost(url(address, "order"));
    try {
      post.setEntity(json(order));
      ControlResponse response = call(post);
      if (response.status() == HttpStatus.SC_OK) {
        return new OrderResult.Taken();
      }
      if (response.status() == HttpStatus.SC_CONFLICT) {
        JsonNode body = MAPPER.readTree(response.body());
        return new OrderResult.Fenced(body.path("highestEpoch").asLong());
      }
      return new OrderResult.Unknown("status " + response.status());
    } catch (IOException | RuntimeException failed) {
      return new OrderResult.Unknown(String.valueOf(failed.getMessage()));
    }
  }

  /** Cancels a request whose response is no longer awaited; best effort, failures are ignored. */
  void cancel(String address, RequestId request) {
    HttpPost post = new HttpPost(url(address, "cancel"));
    try {
      post.setEntity(json(new Cancellation(request)));
      call(post);
    } catch (IOException | RuntimeException ignored) {
      return;
    }
  }

  private ControlResponse call(HttpUriRequestBase request) throws IOException {
    request.setConfig(
        RequestConfig.custom()
            .setConnectionRequestTimeout(Timeout.ofMilliseconds(timeoutMs))
            .setResponseTimeout(Timeout.ofMilliseconds(timeoutMs))
            .build());
    return client.execute(
        request,
        response ->
            new ControlResponse(
                response.getCode(),
                EntityUtils.toString(response.getEntity(), MAX_RESPONSE_BYTES)));
  }

  private static StringEntity json(Object value) throws JsonProcessingException {
    return new StringEntity(MAPPER.writeValueAsString(value), ContentType.APPLICATION_JSON);
  }

  private static String url(String address, String call) {
    return "http://" + address + "/control/" + call;
  }

  private record ControlResponse(int status, String body) {}

  private record Cancellation(RequestId request) {}
}
