package org.limpetring.load;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.apache.hc.client5.http.classic.methods.HttpGet;
import org.apache.hc.client5.http.classic.methods.HttpPost;
import org.apache.hc.client5.http.classic.methods.HttpUriRequestBase;
import org.apache.hc.client5.http.impl.classic.CloseableHttpClient;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.io.entity.EntityUtils;
import org.apache.hc.core5.http.io.entity.StringEntity;
import org.limpetring.standin.engine.EngineState;
import org.limpetring.standin.host.Fault;
import org.limpetring.standin.host.RunEntry;
import org.limpetring.standin.http.Json;

/** Client of the control API of the stand-ins. */
final class StandinClient {

  private static final int STATUS_OK = 200;

  private final CloseableHttpClient client;
  private final String baseUrl;

  StandinClient(CloseableHttpClient client, String baseUrl) {
    this.client = client;
    this.baseUrl = baseUrl;
  }

  /** Injects a fault. */
  void injectFault(Fault fault) throws IOException {
    HttpPost post = new HttpPost(baseUrl + "/faults");
    post.setEntity(new StringEntity(Json.write(fault), ContentType.APPLICATION_JSON));
    Object unused = execute(post, Object.class);
  }

  /** State of each engine. */
  List<EngineState> engineStates() throws IOException {
    return execute(new HttpGet(baseUrl + "/state"), StateResponse.class).engines();
  }

  /** Calls that the platform has received so far. */
  CallCounts platformCalls() throws IOException {
    return execute(new HttpGet(baseUrl + "/calls"), CallCounts.class);
  }

  /** All entries of the log of runs, read page by page. */
  List<RunEntry> runLog() throws IOException {
    List<RunEntry> entries = new ArrayList<>();
    while (true) {
      List<RunEntry> page =
          execute(new HttpGet(baseUrl + "/log?first=" + entries.size()), LogResponse.class)
              .entries();
      if (page.isEmpty()) {
        return entries;
      }
      entries.addAll(page);
    }
  }

  private <T> T execute(HttpUriRequestBase request, Class<T> type) throws IOException {
    return client.execute(
        request,
        response -> {
          byte[] body = EntityUtils.toByteArray(response.getEntity());
          if (response.getCode() != STATUS_OK) {
            throw new IOException(
                request.getRequestUri() + " returned status " + response.getCode());
          }
          return Json.read(body, type);
        });
  }

  /** Calls to the platform by kind. */
  record CallCounts(long reads, long writes) {}

  private record StateResponse(long nowMs, List<EngineState> engines) {}

  private record LogResponse(long nowMs, List<RunEntry> entries) {}
}
