package org.limpetring.daemon.wiring;

import com.google.inject.Inject;
import java.util.concurrent.atomic.AtomicLong;
import org.jboss.logging.Logger;
import org.limpetring.base.LogEvent;
import org.limpetring.daemon.admission.NoticePort;
import org.limpetring.fleet.node.FleetNode;
import org.limpetring.fleet.spread.TopicState;
import org.limpetring.groups.control.GroupController;
import org.limpetring.groups.monitor.Observation;
import org.limpetring.groups.monitor.ObservationCodec;
import org.limpetring.routing.cold.ColdGroupDetector;
import org.limpetring.routing.cold.ColdNotice;
import org.limpetring.routing.poison.CrashNotice;
import org.limpetring.routing.poison.PoisonTracker;

/**
 * Spreads what one daemon learns to all: observations of groups, cold groups, crashes.
 *
 * <p>Each daemon has topics of its own, so that no two daemons write one topic.
 */
public final class TopicSpread implements NoticePort {

  private static final Logger LOGGER = Logger.getLogger(TopicSpread.class);
  private static final String COLD_PREFIX = "cold/";
  private static final String CRASH_PREFIX = "crash/";

  private final FleetNode node;
  private final ColdGroupDetector marks;
  private final PoisonTracker book;
  private final AtomicLong coldVersion = new AtomicLong();
  private final AtomicLong crashVersion = new AtomicLong();
  private long observationVersion;

  /** Spreads through {@code node}. */
  @Inject
  public TopicSpread(FleetNode node, ColdGroupDetector marks, PoisonTracker book) {
    this.node = node;
    this.marks = marks;
    this.book = book;
  }

  /** Starts to take what other daemons spread. */
  public void start(GroupController groups) {
    node.addTopicListener(
        ObservationCodec.topicPrefix(),
        state ->
            guarded(state, () -> groups.onObservation(ObservationCodec.decode(state.value()))));
    node.addTopicListener(
        COLD_PREFIX,
        state -> guarded(state, () -> NoticeCodec.readCold(state.value()).forEach(marks::merge)));
    node.addTopicListener(
        CRASH_PREFIX,
        state -> guarded(state, () -> NoticeCodec.readCrashes(state.value()).forEach(book::merge)));
  }

  /** Spreads this daemon's observation if it has changed; called by the thread of the groups. */
  public void spreadObservation(GroupController groups) {
    Observation observation = groups.observation();
    if (observation.version() <= observationVersion) {
      return;
    }
    observationVersion = observation.version();
    node.gossip(
        new TopicState(
            ObservationCodec.topic(observation.observer()),
            observation.version(),
            ObservationCodec.encode(observation)));
  }

  @Override
  public void spread(ColdNotice notice) {
    byte[] value = NoticeCodec.writeCold(marks.notices());
    node.gossip(
        new TopicState(COLD_PREFIX + node.view().self(), coldVersion.incrementAndGet(), value));
  }

  @Override
  public void spread(CrashNotice notice) {
    byte[] value = NoticeCodec.writeCrashes(book.notices());
    node.gossip(
        new TopicState(CRASH_PREFIX + node.view().self(), crashVersion.incrementAndGet(), value));
  }

  private static void guarded(TopicState state, Runnable action) {
    try {
      action.run();
    } catch (IllegalArgumentException malformed) {
      LogEvent.UNEXPECTED_FAILURE.log(LOGGER, "topic " + state.topic(), malformed);
    }
  }
}
