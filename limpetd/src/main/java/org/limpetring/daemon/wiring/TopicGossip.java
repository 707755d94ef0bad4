package org.limpetring.daemon.wiring;

import com.google.inject.Inject;
import java.util.concurrent.atomic.AtomicLong;
import org.jboss.logging.Logger;
import org.limpetring.base.LogEvent;
import org.limpetring.daemon.admission.NoticePort;
import org.limpetring.fleet.gossip.TopicState;
import org.limpetring.fleet.node.FleetNode;
import org.limpetring.groups.control.GroupController;
import org.limpetring.groups.monitor.Observation;
import org.limpetring.groups.monitor.ObservationCodec;
import org.limpetring.routing.cold.ColdGroupDetector;
import org.limpetring.routing.cold.ColdNotice;
import org.limpetring.routing.poison.CrashNotice;
import org.limpetring.routing.poison.PoisonTracker;

/**
 * Gossips one daemon's observations of groups, cold groups and crashes to all daemons.
 *
 * <p>Each daemon writes only its own topics, so that every topic has a single writer.
 */
public final class TopicGossip implements NoticePort {

  private static final Logger LOGGER = Logger.getLogger(TopicGossip.class);
  private static final String COLD_PREFIX = "cold/";
  private static final String CRASH_PREFIX = "crash/";

  private final FleetNode node;
  private final ColdGroupDetector coldGroupDetector;
  private final PoisonTracker poisonTracker;
  private final AtomicLong coldVersion = new AtomicLong();
  private final AtomicLong crashVersion = new AtomicLong();
  private long observationVersion;

  /** Publishes through {@code node}. */
  @Inject
  public TopicGossip(
      FleetNode node, ColdGroupDetector coldGroupDetector, PoisonTracker poisonTracker) {
    this.node = node;
    this.coldGroupDetector = coldGroupDetector;
    this.poisonTracker = poisonTracker;
  }

  /** Subscribes to the topics of other daemons. */
  public void start(GroupController groups) {
    node.addTopicListener(
        ObservationCodec.topicPrefix(),
        state ->
            ignoringMalformed(
                state, () -> groups.onObservation(ObservationCodec.decode(state.value()))));
    node.addTopicListener(
        COLD_PREFIX,
        state ->
            ignoringMalformed(
                state,
                () -> NoticeCodec.decodeCold(state.value()).forEach(coldGroupDetector::merge)));
    node.addTopicListener(
        CRASH_PREFIX,
        state ->
            ignoringMalformed(
                state,
                () -> NoticeCodec.decodeCrashes(state.value()).forEach(poisonTracker::merge)));
  }

  /** Publishes this daemon's observation if it has changed; called by the groups' thread only. */
  public void publishObservation(GroupController groups) {
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
  public void publish(ColdNotice notice) {
    byte[] value = NoticeCodec.encodeCold(coldGroupDetector.notices());
    node.gossip(
        new TopicState(COLD_PREFIX + node.view().self(), coldVersion.incrementAndGet(), value));
  }

  @Override
  public void publish(CrashNotice notice) {
    byte[] value = NoticeCodec.encodeCrashes(poisonTracker.notices());
    node.gossip(
        new TopicState(CRASH_PREFIX + node.view().self(), crashVersion.incrementAndGet(), value));
  }

  private static void ignoringMalformed(TopicState state, Runnable action) {
    try {
      action.run();
    } catch (IllegalArgumentException malformed) {
      LogEvent.UNEXPECTED_FAILURE.log(LOGGER, "topic " + state.topic(), malformed);
    }
  }
}
