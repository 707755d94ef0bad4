package org.limpetring.peer.relay;

import java.util.List;
import org.limpetring.peer.proto.PlatformRelayResponse;
import org.limpetring.peer.proto.PlatformRelayResponse.Result;
import org.limpetring.peer.proto.RelayedObject;
import org.limpetring.store.ListResult;
import org.limpetring.store.ReadResult;
import org.limpetring.store.StoredObject;
import org.limpetring.store.WatchResult;
import org.limpetring.store.WriteResult;

/** Converts platform results to relay messages and back. */
final class RelayCodec {

  private static final String UNEXPECTED_RESPONSE = "unexpected response from the relaying peer";

  private RelayCodec() {}

  static PlatformRelayResponse encode(ReadResult result) {
    PlatformRelayResponse.Builder response = PlatformRelayResponse.newBuilder();
    if (result instanceof ReadResult.Found found) {
      return response.setResult(Result.FOUND).addObjects(encode(found.object())).build();
    }
    if (result instanceof ReadResult.Missing missing) {
      return response.setResult(Result.MISSING).setRevision(missing.revision()).build();
    }
    return unavailable(((ReadResult.Unavailable) result).reason());
  }

  static PlatformRelayResponse encode(ListResult result) {
    if (result instanceof ListResult.Unavailable unavailable) {
      return unavailable(unavailable.reason());
    }
    ListResult.Listed listed = (ListResult.Listed) result;
    PlatformRelayResponse.Builder response =
        PlatformRelayResponse.newBuilder().setResult(Result.LISTED).setRevision(listed.revision());
    listed.objects().forEach(object -> response.addObjects(encode(object)));
    return response.build();
  }

  static PlatformRelayResponse encode(WriteResult result) {
    PlatformRelayResponse.Builder response = PlatformRelayResponse.newBuilder();
    if (result instanceof WriteResult.Written written) {
      return response.setResult(Result.WRITTEN).setVersion(written.version()).build();
    }
    if (result instanceof WriteResult.Conflict conflict) {
      return response.setResult(Result.CONFLICT).setVersion(conflict.actualVersion()).build();
    }
    if (result instanceof WriteResult.Unknown unknown) {
      return response.setResult(Result.UNKNOWN).setReason(unknown.reason()).build();
    }
    return unavailable(((WriteResult.Unavailable) result).reason());
  }

  static PlatformRelayResponse encode(WatchResult result) {
    PlatformRelayResponse.Builder response = PlatformRelayResponse.newBuilder();
    if (result instanceof WatchResult.Compacted compacted) {
      return response.setResult(Result.COMPACTED).setRevision(compacted.oldestRevision()).build();
    }
    if (result instanceof WatchResult.Unavailable unavailable) {
      return unavailable(unavailable.reason());
    }
    WatchResult.Changes changes = (WatchResult.Changes) result;
    response.setResult(Result.CHANGES).setRevision(changes.revision());
    for (WatchResult.Change change : changes.changes()) {
      response.addObjects(
          RelayedObject.newBuilder()
              .setKey(change.key())
              .setValue(change.value())
              .setVersion(change.version())
              .setDeleted(change.deleted()));
    }
    return response.build();
  }

  static PlatformRelayResponse unavailable(String reason) {
    return PlatformRelayResponse.newBuilder()
        .setResult(Result.UNAVAILABLE)
        .setReason(reason)
        .build();
  }

  static ReadResult readResult(String key, PlatformRelayResponse response) {
    if (response.getResult() == Result.FOUND
        && response.getObjectsCount() == 1
        && response.getObjects(0).getKey().equals(key)) {
      return new ReadResult.Found(decode(response.getObjects(0)));
    }
    if (response.getResult() == Result.MISSING) {
      return new ReadResult.Missing(response.getRevision());
    }
    return new ReadResult.Unavailable(reason(response));
  }

  static ListResult listResult(PlatformRelayResponse response) {
    if (response.getResult() != Result.LISTED) {
      return new ListResult.Unavailable(reason(response));
    }
    List<StoredObject> objects =
        response.getObjectsList().stream().map(RelayCodec::decode).toList();
    return new ListResult.Listed(objects, response.getRevision());
  }

  static WriteResult writeResult(PlatformRelayResponse response) {
    return switch (response.getResult()) {
      case WRITTEN -> new WriteResult.Written(response.getVersion());
      case CONFLICT -> new WriteResult.Conflict(response.getVersion());
      case UNAVAILABLE -> new WriteResult.Unavailable(reason(response));
      default -> new WriteResult.Unknown(reason(response));
    };
  }

  static WatchResult watchResult(PlatformRelayResponse response) {
    if (response.getResult() == Result.COMPACTED) {
      return new WatchResult.Compacted(response.getRevision());
    }
    if (response.getResult() != Result.CHANGES) {
      return new WatchResult.Unavailable(reason(response));
    }
    List<WatchResult.Change> changes =
        response.getObjectsList().stream()
            .map(
                object ->
                    new WatchResult.Change(
                        object.getKey(),
                        object.getValue(),
                        object.getVersion(),
                        object.getDeleted()))
            .toList();
    return new WatchResult.Changes(changes, response.getRevision());
  }

  private static RelayedObject encode(StoredObject object) {
    return RelayedObject.newBuilder()
        .setKey(object.key())
        .setValue(object.value())
        .setVersion(object.version())
        .build();
  }

  private static StoredObject decode(RelayedObject object) {
    return new StoredObject(object.getKey(), object.getValue(), object.getVersion());
  }

  private static String reason(PlatformRelayResponse response) {
    return response.getReason().isEmpty() ? UNEXPECTED_RESPONSE : response.getReason();
  }
}
