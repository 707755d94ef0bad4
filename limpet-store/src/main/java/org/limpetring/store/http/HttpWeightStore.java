package org.limpetring.store.http;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import org.apache.hc.client5.http.classic.methods.HttpGet;
import org.limpetring.store.WeightStore;

/** Weight store behind the platform's HTTP interface. */
public final class HttpWeightStore implements WeightStore {

  private static final String PATH = "/v1/weights";

  private final HttpPlatformClient client;

  /** Makes its calls through {@code client}, which the caller closes. */
  public HttpWeightStore(HttpPlatformClient client) {
    this.client = client;
  }

  @Override
  public Result read() {
    Result result =
        result(client.call(new HttpGet(HttpPlatformClient.build(client.address(PATH)))));
    client.count(PlatformCall.WEIGHTS, result instanceof Result.Limits ? "ok" : "unavailable");
    return result;
  }

  private static Result result(HttpAnswer answer) {
    if (!(answer instanceof HttpAnswer.Answered answered) || answered.status() != 200) {
      return new Result.Unavailable(answer.toString());
    }
    try {
      List<ModelWeights> models = new ArrayList<>();
      for (JsonNode node : JsonFields.array(answered.body(), "models")) {
        models.add(
            new ModelWeights(
                JsonFields.text(node, "model"),
                JsonFields.text(node, "version"),
                JsonFields.number(node, "loadMs")));
      }
      return new Result.Limits((int) JsonFields.number(answered.body(), "loadsAtOnce"), models);
    } catch (MalformedAnswerException malformed) {
      return new Result.Unavailable(malformed.reason());
    }
  }
}
