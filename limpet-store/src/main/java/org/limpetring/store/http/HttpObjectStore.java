package org.limpetring.store.http;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.apache.hc.client5.http.classic.methods.HttpDelete;
import org.apache.hc.client5.http.classic.methods.HttpGet;
import org.apache.hc.client5.http.classic.methods.HttpPut;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.limpetring.store.ListResult;
import org.limpetring.store.ObjectStore;
import org.limpetring.store.ReadResult;
import org.limpetring.store.StoredObject;
import org.limpetring.store.WatchResult;
import org.limpetring.store.WriteResult;

/** Object store over the platform's HTTP interface. */
public final class HttpObjectStore implements ObjectStore {

  private static final String OBJECT_PATH = "/v1/object";
  private static final String LIST_PATH = "/v1/objects";
  private static final String WATCH_PATH = "/v1/watch";
  private static final ContentType VALUE_TYPE =
      ContentType.create("text/plain", StandardCharsets.UTF_8);

  private final HttpPlatformClient client;

  /** Uses {@code client}, which stays owned by the caller. */
  public HttpObjectStore(HttpPlatformClient client) {
    this.client = client;
  }

  @Override
  public ReadResult get(String key) {
    URI uri = HttpPlatformClient.toUri(client.uriBuilder(OBJECT_PATH).addParameter("key", key));
    ReadResult result = readResult(key, client.call(new HttpGet(uri)));
    client.countCall(PlatformCall.GET, label(result));
    return result;
  }

  @Override
  public ListResult list(String prefix) {
    URI uri = HttpPlatformClient.toUri(client.uriBuilder(LIST_PATH).addParameter("prefix", prefix));
    ListResult result = listResult(client.call(new HttpGet(uri)));
    client.countCall(PlatformCall.LIST, result instanceof ListResult.Listed ? "ok" : "unavailable");
    return result;
  }

  @Override
  public WriteResult put(String key, String value, long expectedVersion) {
    byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
    if (bytes.length > MAX_VALUE_BYTES) {
      return new WriteResult.Unavailable("value too large: " + bytes.length + " bytes");
    }
    HttpPut request = new HttpPut(writeUri(key, expectedVersion));
    request.setEntity(new ByteArrayEntity(bytes, VALUE_TYPE));
    WriteResult result = writeResult(client.call(request));
    client.countCall(PlatformCall.PUT, label(result));
    return result;
  }

  @Override
  public WriteResult delete(String key, long expectedVersion) {
    HttpDelete request = new HttpDelete(writeUri(key, expectedVersion));
    WriteResult result = writeResult(client.call(request));
    client.countCall(PlatformCall.DELETE, label(result));
    return result;
  }

  @Override
  public WatchResult watch(String prefix, long afterRevision, long waitMs) {
    URI uri =
        HttpPlatformClient.toUri(
            client
                .uriBuilder(WATCH_PATH)
                .addParameter("prefix", prefix)
                .addParameter("after", Long.toString(afterRevision))
                .addParameter("waitMs", Long.toString(waitMs)));
    WatchResult result = watchResult(client.callLongPoll(new HttpGet(uri), waitMs));
    client.countCall(PlatformCall.WATCH, label(result));
    return result;
  }

  private URI writeUri(String key, long expectedVersion) {
    return HttpPlatformClient.toUri(
        client
            .uriBuilder(OBJECT_PATH)
            .addParameter("key", key)
            .addParameter("expected", Long.toString(expectedVersion)));
  }

  private static ReadResult readResult(String key, HttpResult response) {
    if (!(response instanceof HttpResult.Answered received)) {
      return new ReadResult.Unavailable(reason(response));
    }
    try {
      if (received.status() == 200) {
        StoredObject object = storedObject(received.body());
        if (!object.key().equals(key)) {
          return new ReadResult.Unavailable("answer for another key: " + object.key());
        }
        return new ReadResult.Found(object);
      }
      if (received.status() == 404) {
        return new ReadResult.Missing(JsonFields.number(received.body(), "revision"));
      }
      return new ReadResult.Unavailable(reason(response));
    } catch (MalformedResponseException malformed) {
      return new ReadResult.Unavailable(malformed.reason());
    }
  }

  private static ListResult listResult(HttpResult response) {
    if (!(response instanceof HttpResult.Answered received) || received.status() != 200) {
      return new ListResult.Unavailable(reason(response));
    }
    try {
      List<StoredObject> objects = new ArrayList<>();
      for (JsonNode node : JsonFields.array(received.body(), "objects")) {
        objects.add(storedObject(node));
      }
      objects.sort(Comparator.comparing(StoredObject::key));
      return new ListResult.Listed(objects, JsonFields.number(received.body(), "revision"));
    } catch (MalformedResponseException malformed) {
      return new ListResult.Unavailable(malformed.reason());
    }
  }

  private static WriteResult writeResult(HttpResult response) {
    if (response instanceof HttpResult.NotSent notSent) {
      return new WriteResult.Unavailable(notSent.reason());
    }
    if (!(response instanceof HttpResult.Answered received)) {
      return new WriteResult.Unknown(reason(response));
    }
    try {
      return switch (received.status()) {
        case 200 -> new WriteResult.Written(JsonFields.number(received.body(), "version"));
        case 409 -> new WriteResult.Conflict(JsonFields.number(received.body(), "version"));
        case 400, 401, 403, 404, 413, 429, 503 -> new WriteResult.Unavailable(reason(response));
        default -> new WriteResult.Unknown(reason(response));
      };
    } catch (MalformedResponseException malformed) {
      return new WriteResult.Unknown(malformed.reason());
    }
  }

  private static WatchResult watchResult(HttpResult response) {
    if (!(response instanceof HttpResult.Answered received)) {
      return new WatchResult.Unavailable(reason(response));
    }
    try {
      if (received.status() == 410) {
        return new WatchResult.Compacted(JsonFields.number(received.body(), "oldest"));
      }
      if (received.status() != 200) {
        return new WatchResult.Unavailable(reason(response));
      }
      List<WatchResult.Change> changes = new ArrayList<>();
      for (JsonNode node : JsonFields.array(received.body(), "changes")) {
        changes.add(change(node));
      }
      return new WatchResult.Changes(changes, JsonFields.number(received.body(), "revision"));
    } catch (MalformedResponseException malformed) {
      return new WatchResult.Unavailable(malformed.reason());
    }
  }

  private static StoredObject storedObject(JsonNode node) throws MalformedResponseException {
    return new StoredObject(
        JsonFields.text(node, "key"),
        JsonFields.text(node, "value"),
        JsonFields.number(node, "version"));
  }

  private static WatchResult.Change change(JsonNode node) throws MalformedResponseException {
    boolean deleted = node.path("deleted").asBoolean(false);
    return new WatchResult.Change(
        JsonFields.text(node, "key"),
        deleted ? "" : JsonFields.text(node, "value"),
        JsonFields.number(node, "version"),
        deleted);
  }

  private static String reason(HttpResult response) {
    if (response instanceof HttpResult.NotSent notSent) {
      return notSent.reason();
    }
    if (response instanceof HttpResult.Lost lost) {
      return lost.reason();
    }
    return "status " + ((HttpResult.Answered) response).status();
  }

  private static String label(ReadResult result) {
    if (result instanceof ReadResult.Found) {
      return "ok";
    }
    return result instanceof ReadResult.Missing ? "missing" : "unavailable";
  }

  private static String label(WriteResult result) {
    if (result instanceof WriteResult.Written) {
      return "ok";
    }
    if (result instanceof WriteResult.Conflict) {
      return "conflict";
    }
    return result instanceof WriteResult.Unknown ? "unknown" : "unavailable";
  }

  private static String label(WatchResult result) {
    if (result instanceof WatchResult.Changes) {
      return "ok";
    }
    return result instanceof WatchResult.Compacted ? "compacted" : "unavailable";
  }
}
