package org.limpetring.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.net.URI;
import java.net.URISyntaxException;
import java.util.ArrayList;
import java.util.List;
import org.apache.hc.client5.http.classic.methods.HttpGet;
import org.apache.hc.client5.http.impl.classic.CloseableHttpClient;
import org.apache.hc.client5.http.impl.classic.HttpClients;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.io.entity.EntityUtils;
import org.apache.hc.core5.net.URIBuilder;
import org.limpetring.base.ResultCode;

/** Client of a daemon's operator API. */
final class DaemonClient {

  private static final JsonMapper MAPPER = new JsonMapper();

  private final String baseUrl;

  DaemonClient(String baseUrl) {
    this.baseUrl = baseUrl;
  }

  /** State of the daemon and its groups. */
  Report status() {
    return read(new ArrayList<>(), "status");
  }

  /** Explains how the daemon would route a request with the given attributes. */
  Report explain(List<RequestAttribute> attributes) {
    return read(attributes, "explain");
  }

  private Report read(List<RequestAttribute> attributes, String path) {
    try (CloseableHttpClient client = HttpClients.createDefault()) {
      return client.execute(
          new HttpGet(address(attributes, path)),
          response -> {
            String text = EntityUtils.toString(response.getEntity());
            if (response.getCode() != HttpStatus.SC_OK) {
              return Report.error(
                  ResultCode.PLATFORM_UNAVAILABLE, "daemon answered " + response.getCode());
            }
            JsonNode body = MAPPER.readTree(text);
            return new Report(ResultCode.OK, describe(body), body);
          });
    } catch (IOException | URISyntaxException failed) {
      return Report.error(ResultCode.PLATFORM_UNAVAILABLE, baseUrl + ": " + failed.getMessage());
    }
  }

  private URI address(List<RequestAttribute> attributes, String path) throws URISyntaxException {
    URIBuilder address = new URIBuilder(baseUrl).setPath("/limpet/" + path);
    for (RequestAttribute attribute : attributes) {
      address.addParameter(attribute.name(), attribute.value());
    }
    return address.build();
  }

  /** One line for each scalar field and for each item of a list. */
  private static List<String> describe(JsonNode body) {
    List<String> lines = new ArrayList<>();
    body.properties()
        .forEach(
            field -> {
              if (field.getValue().isArray()) {
                field.getValue().forEach(item -> lines.add(describeItem(field.getKey(), item)));
              } else {
                lines.add(field.getKey() + ": " + field.getValue().asText());
              }
            });
    return lines;
  }

  private static String describeItem(String list, JsonNode item) {
    if (!item.isObject()) {
      return list + ": " + item.asText();
    }
    StringBuilder line = new StringBuilder(list).append(':');
    item.properties()
        .forEach(
            field -> {
              String value =
                  field.getValue().isContainerNode()
                      ? field.getValue().toString()
                      : field.getValue().asText();
              line.append(' ').append(field.getKey()).append('=').append(value);
            });
    return line.toString();
  }

  /** One attribute of the request to explain. */
  record RequestAttribute(String name, String value) {}
}
