package org.limpetring.store.http;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import org.apache.hc.client5.http.classic.methods.HttpGet;
import org.limpetring.store.WeightStore;

/** Weight store read over the platform's HTTP interface. */
public final class HttpWeightStore implements WeightStore {

  private static final String PATH = "/v1/weights";

  private final HttpPlatformClient client;

  /** Uses {@code client}, which stays owned by the caller. */
  public HttpWeightStore(HttpPlatformClient client) {
    this.client = client;
  }

  @Override
  public Result read() {
    Result result =
        result(client.call(new HttpGet(HttpPlatformClient.toUri(client.uriBuilder(PATH)))));
    client.countCall(PlatformCall.WEIGHTS, result instanceof Result.Limits ? "ok" : "unavailable");
    return result;
  }

  private static Result result(HttpResult response) {
    if (!(response instanceof HttpResult.Answered received) || received.status() != 200) {
      return new Result.Unavailable(response.toString());
    }
    try {
      List<ModelWeights> models = new ArrayList<>();
      for (JsonNode node : JsonFields.array(received.body(), "models")) {
        models.add(
            new ModelWeights(
                JsonFields.text(node, "model"),
                JsonFields.text(node, "version"),
                JsonFields.number(node, "loadMs")));
      }
      return new Result.Limits((int) JsonFields.number(received.body(), "loadsAtOnce"), models);
    } catch (MalformedResponseException malformed) {
      return new Result.Unavailable(malformed.reason());
    }
  }
}
