package org.limpetring.daemon.caller;

import com.google.inject.Inject;
import java.util.Optional;
import org.jboss.logging.Logger;
import org.limpetring.base.LogEvent;
import org.limpetring.base.ResultCode;
import org.limpetring.daemon.admission.NoticePort;
import org.limpetring.groups.ServingGroup;
import org.limpetring.routing.poison.CrashNotice;
import org.limpetring.routing.poison.Fingerprint;
import org.limpetring.routing.poison.PoisonTracker;
import org.limpetring.tables.Pool;

/** Limits and rejects requests that were in progress at crashes, to protect other upstreams. */
public final class PoisonGuard {

  private static final Logger LOGGER = Logger.getLogger(PoisonGuard.class);

  private final PoisonTracker tracker;
  private final NoticePort notices;

  /** Consults {@code tracker} and publishes its changes through {@code notices}. */
  @Inject
  public PoisonGuard(PoisonTracker tracker, NoticePort notices) {
    this.tracker = tracker;
    this.notices = notices;
  }

  /** Starts a try; returns OK or the reason for rejection. OK must be followed by {@link #end}. */
  ResultCode begin(CallerRequest request, Pool pool) {
    return switch (tracker.begin(fingerprint(request, pool))) {
      case FREE, EXCLUSIVE -> ResultCode.OK;
      case WAIT -> ResultCode.LIMIT_REACHED;
      case POISON -> ResultCode.POISON_REQUEST;
    };
  }

  /** Ends a try that {@link #begin} allowed. */
  void end(CallerRequest request, Pool pool) {
    tracker.end(fingerprint(request, pool));
  }

  /** Records that the request got its complete response. */
  void onSuccess(CallerRequest request, Pool pool) {
    Optional<CrashNotice> notice = tracker.recordSuccess(fingerprint(request, pool));
    notice.ifPresent(notices::publish);
  }

  /** Records a failed try; a lost connection counts as a crash of the group. */
  void onFailure(CallerRequest request, Pool pool, ServingGroup group, ResultCode code) {
    if (code != ResultCode.UPSTREAM_LOST && code != ResultCode.ANSWER_TRUNCATED) {
      return;
    }
    CrashNotice notice = tracker.recordCrash(fingerprint(request, pool), group);
    if (notice.lives().size() >= PoisonTracker.MAX_CRASHES) {
      LogEvent.POISON_FOUND.log(LOGGER, notice.fingerprint().value(), notice.lives().size());
    }
    notices.publish(notice);
  }

  private static Fingerprint fingerprint(CallerRequest request, Pool pool) {
    return Fingerprint.of(pool.name(), request.method(), request.path(), request.body());
  }
}
