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

/**
 * Host list read over the platform's HTTP interface. One malformed entry makes the whole list
 * unavailable.
 */
public final class HttpHostList implements HostList {

  private static final String PATH = "/v1/hosts";

  private final HttpPlatformClient client;

  /** Uses {@code client}, which stays owned by the caller. */
  public HttpHostList(HttpPlatformClient client) {
    this.client = client;
  }

  @Override
  public Result read() {
    Result result =
        result(client.call(new HttpGet(HttpPlatformClient.toUri(client.uriBuilder(PATH)))));
    client.countCall(PlatformCall.HOSTS, result instanceof Result.Hosts ? "ok" : "unavailable");
    return result;
  }

  private static Result result(HttpResult response) {
    if (!(response instanceof HttpResult.Answered received) || received.status() != 200) {
      return new Result.Unavailable(response.toString());
    }
    try {
      List<HostEntry> hosts = new ArrayList<>();
      for (JsonNode node : JsonFields.array(received.body(), "hosts")) {
        hosts.add(entry(node));
      }
      return new Result.Hosts(hosts);
    } catch (MalformedResponseException | IllegalArgumentException malformed) {
      return new Result.Unavailable(String.valueOf(malformed.getMessage()));
    }
  }

  private static HostEntry entry(JsonNode node) throws MalformedResponseException {
    return new HostEntry(
        new HostId(JsonFields.text(node, "host")),
        JsonFields.text(node, "address"),
        new FailureDomain(JsonFields.text(node, "failureDomain")),
        new FabricDomain(JsonFields.text(node, "fabricDomain")),
        node.path("leaving").asBoolean(false),
        (int) JsonFields.number(node, "accelerators"));
  }
}
