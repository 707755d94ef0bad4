package org.limpetring.daemon.caller;

import com.google.inject.Inject;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import org.limpetring.base.Clock;
import org.limpetring.base.ResultCode;
import org.limpetring.groups.ServingGroup;
import org.limpetring.routing.choose.GroupChooser;
import org.limpetring.routing.choose.InFlightCounts;

/** Admits each request at once to the less loaded of two groups. */
public final class ChoosingAdmission implements Admission {

  private final Clock clock;
  private final DaemonState state;
  private final InFlightCounts inFlight = new InFlightCounts();
  private final GroupChooser chooser = new GroupChooser(inFlight);

  /** Chooses among the groups of {@code state}. */
  @Inject
  public ChoosingAdmission(Clock clock, DaemonState state) {
    this.clock = clock;
    this.state = state;
  }

  @Override
  public Result admit(Ask ask) {
    if (clock.nowMs() >= ask.deadlineAtMs()) {
      return new Result.Refused(ResultCode.DEADLINE_TOO_SHORT);
    }
    Optional<ServingGroup> chosen =
        chooser.choose(
            state.groups(), ask.pool().name(), ask.excluded(), ThreadLocalRandom.current());
    if (chosen.isEmpty()) {
      return new Result.Refused(ResultCode.NO_GROUP_SERVING);
    }
    inFlight.begin(chosen.get().id());
    return new Result.Admitted(chosen.get());
  }

  @Override
  public void release(ServingGroup group, long tookMs, boolean completed) {
    inFlight.end(group.id());
  }
}
