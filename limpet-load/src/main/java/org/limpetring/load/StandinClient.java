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

/** Client of the control socket of the stand-ins. */
final class StandinClient {

  private static final int STATUS_OK = 200;

  private final CloseableHttpClient client;
  private final String baseUrl;

  StandinClient(CloseableHttpClient client, String baseUrl) {
    this.client = client;
    this.baseUrl = baseUrl;
  }

  /** Puts a fault into effect. */
  void apply(Fault fault) throws IOException {
    HttpPost post = new HttpPost(baseUrl + "/faults");
    post.setEntity(new StringEntity(Json.write(fault), ContentType.APPLICATION_JSON));
    Object unused = call(post, Object.class);
  }

  /** State of each engine. */
  List<EngineState> states() throws IOException {
    return call(new HttpGet(baseUrl + "/state"), StateAnswer.class).engines();
  }

  /** Calls that the platform has taken so far. */
  CallCounts calls() throws IOException {
    return call(new HttpGet(baseUrl + "/calls"), CallCounts.class);
  }

  /** The whole log. */
  List<RunEntry> log() throws IOException {
    List<RunEntry> entries = new ArrayList<>();
    while (true) {
      List<RunEntry> page =
          call(new HttpGet(baseUrl + "/log?first=" + entries.size()), LogAnswer.class).entries();
      if (page.isEmpty()) {
        return entries;
      }
      entries.addAll(page);
    }
  }

  private <T> T call(HttpUriRequestBase request, Class<T> type) throws IOException {
    return client.execute(
        request,
        answer -> {
          byte[] body = EntityUtils.toByteArray(answer.getEntity());
          if (answer.getCode() != STATUS_OK) {
            throw new IOException(request.getRequestUri() + " answered " + answer.getCode());
          }
          return Json.read(body, type);
        });
  }

  /** Calls by kind. */
  record CallCounts(long reads, long writes) {}

  private record StateAnswer(long nowMs, List<EngineState> engines) {}

  private record LogAnswer(long nowMs, List<RunEntry> entries) {}
}
