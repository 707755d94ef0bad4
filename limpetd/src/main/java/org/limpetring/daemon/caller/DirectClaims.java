package org.limpetring.daemon.caller;

import com.google.common.hash.Hashing;
import com.google.inject.Inject;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.limpetring.base.ResultCode;
import org.limpetring.base.RunState;
import org.limpetring.platform.ObjectStore;
import org.limpetring.platform.ReadResult;
import org.limpetring.platform.WriteResult;
import org.limpetring.routing.request.RequestEvent;

/** Claims each key by one conditional write of its own; the baseline for claims in batches. */
public final class DirectClaims implements Claims {

  private static final String PREFIX = "claims/";

  private final ObjectStore store;

  /** Claims in {@code store}. */
  @Inject
  public DirectClaims(ObjectStore store) {
    this.store = store;
  }

  @Override
  public RequestEvent claim(String key, CallerRequest request, long deadlineAtMs) {
    String object = PREFIX + hash(request.caller() + "\n" + key);
    String attempt = request.id().value();
    WriteResult written = store.put(object, attempt, 0);
    if (written instanceof WriteResult.Written) {
      return new RequestEvent.ClaimGranted();
    }
    if (written instanceof WriteResult.Unavailable) {
      return new RequestEvent.ClaimDenied(ResultCode.CLAIM_UNAVAILABLE);
    }
    if (store.get(object) instanceof ReadResult.Found found) {
      return found.object().value().equals(attempt)
          ? new RequestEvent.ClaimGranted()
          : new RequestEvent.ClaimDenied(ResultCode.DUPLICATE_UNKNOWN);
    }
    return new RequestEvent.ClaimDenied(ResultCode.CLAIM_UNAVAILABLE);
  }

  @Override
  public void settle(String key, CallerRequest request, RunState runState, CallerAnswer answer) {}

  @Override
  public void replay(String key, CallerRequest request, CallerAnswer answer) throws IOException {
    answer.fail(ResultCode.DUPLICATE_DONE, RunState.RAN, "");
  }

  private static String hash(String key) {
    return Hashing.sha256().hashString(key, StandardCharsets.UTF_8).toString();
  }
}
