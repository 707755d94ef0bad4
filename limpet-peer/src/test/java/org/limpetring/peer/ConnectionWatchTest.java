package org.limpetring.peer;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.limpetring.peer.ConnectionWatch.Action;

class ConnectionWatchTest {

  private final ConnectionWatch watch = new ConnectionWatch(TestPeers.settings("a"), -50);

  @Test
  void unansweredFrameLeadsToOneHeartbeatThenToTheDrop() {
    watch.onMessageWritten(0);
    watch.onMessageWritten(90);
    assertThat(watch.onTick(99)).isEqualTo(Action.NONE);
    assertThat(watch.onTick(100)).isEqualTo(Action.HEARTBEAT);
    assertThat(watch.onTick(150)).isEqualTo(Action.NONE);
    assertThat(watch.nextTickMs(150)).isEqualTo(150);
    assertThat(watch.onTick(300)).isEqualTo(Action.DROP_SILENT);
  }

  @Test
  void anyFrameReadEndsTheSuspicion() {
    watch.onMessageWritten(0);
    assertThat(watch.onTick(100)).isEqualTo(Action.HEARTBEAT);
    watch.onRead();
    assertThat(watch.onTick(1_000)).isEqualTo(Action.NONE);
    assertThat(watch.onTick(30_000)).isEqualTo(Action.CLOSE_IDLE);
  }
}
