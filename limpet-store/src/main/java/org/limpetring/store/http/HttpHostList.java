package org.limpetring.store.http;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import org.apache.hc.client5.http.classic.methods.HttpGet;
import org.limpetring.base.FabricDomain;
import org.limpetring.base.FailureDomain;
import org.limpetring.base.HostId;
import org.limpetring.store.HostEntry;
import org.limpetring.store.HostList;

/** Host list behind the platform's HTTP interface; a list with one bad entry is refused whole. */
public final class HttpHostList implements HostList {

  private static final String PATH = "/v1/hosts";

  private final HttpPlatformClient client;

  /** Makes its calls through {@code client}, which the caller closes. */
  public HttpHostList(HttpPlatformClient client) {
    this.client = client;
  }

  @Override
  public Result read() {
    Result result =
        result(client.call(new HttpGet(HttpPlatformClient.build(client.address(PATH)))));
    client.count(PlatformCall.HOSTS, result instanceof Result.Hosts ? "ok" : "unavailable");
    return result;
  }

  private static Result result(HttpAnswer answer) {
    if (!(answer instanceof HttpAnswer.Answered answered) || answered.status() != 200) {
      return new Result.Unavailable(answer.toString());
    }
    try {
      List<HostEntry> hosts = new ArrayList<>();
      for (JsonNode node : JsonFields.array(answered.body(), "hosts")) {
        hosts.add(entry(node));
      }
      return new Result.Hosts(hosts);
    } catch (MalformedAnswerException | IllegalArgumentException malformed) {
      return new Result.Unavailable(String.valueOf(malformed.getMessage()));
    }
  }

  private static HostEntry entry(JsonNode node) throws MalformedAnswerException {
    return new HostEntry(
        new HostId(JsonFields.text(node, "host")),
        JsonFields.text(node, "address"),
        new FailureDomain(JsonFields.text(node, "failureDomain")),
        new FabricDomain(JsonFields.text(node, "fabricDomain")),
        node.path("leaving").asBoolean(false),
        (int) JsonFields.number(node, "accelerators"));
  }
}
