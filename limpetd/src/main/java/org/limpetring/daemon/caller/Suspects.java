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

/** Keeps requests that were in progress at crashes from taking further upstreams down. */
public final class Suspects {

  private static final Logger LOGGER = Logger.getLogger(Suspects.class);

  private final PoisonTracker book;
  private final NoticePort notices;

  /** Asks {@code book} and spreads what it learns. */
  @Inject
  public Suspects(PoisonTracker book, NoticePort notices) {
    this.book = book;
    this.notices = notices;
  }

  /** Begins a try: OK, or why it may not be made; OK must be followed by {@link #end}. */
  ResultCode begin(CallerRequest request, Pool pool) {
    return switch (book.begin(fingerprint(request, pool))) {
      case FREE, EXCLUSIVE -> ResultCode.OK;
      case WAIT -> ResultCode.LIMIT_REACHED;
      case POISON -> ResultCode.POISON_REQUEST;
    };
  }

  /** Ends a try. */
  void end(CallerRequest request, Pool pool) {
    book.end(fingerprint(request, pool));
  }

  /** Notes that the request got its whole answer. */
  void answered(CallerRequest request, Pool pool) {
    Optional<CrashNotice> notice = book.recordSuccess(fingerprint(request, pool));
    notice.ifPresent(notices::spread);
  }

  /** Notes that a try failed; a broken connection counts as a crash of the group. */
  void failed(CallerRequest request, Pool pool, ServingGroup group, ResultCode code) {
    if (code != ResultCode.UPSTREAM_LOST && code != ResultCode.ANSWER_TRUNCATED) {
      return;
    }
    CrashNotice notice = book.recordCrash(fingerprint(request, pool), group);
    if (notice.lives().size() >= PoisonTracker.MAX_CRASHES) {
      LogEvent.POISON_FOUND.log(LOGGER, notice.fingerprint().value(), notice.lives().size());
    }
    notices.spread(notice);
  }

  private static Fingerprint fingerprint(CallerRequest request, Pool pool) {
    return Fingerprint.of(pool.name(), request.method(), request.path(), request.body());
  }
}
