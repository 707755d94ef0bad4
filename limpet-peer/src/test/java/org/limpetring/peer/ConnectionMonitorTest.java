package org.limpetring.peer;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.limpetring.peer.ConnectionMonitor.Action;

class ConnectionMonitorTest {

  private final ConnectionMonitor monitor = new ConnectionMonitor(TestPeers.settings("a"), -50);

  @Test
  void unansweredFrameCausesOneHeartbeatThenDropsConnection() {
    monitor.onMessageWritten(0);
    monitor.onMessageWritten(90);
    assertThat(monitor.onTick(99)).isEqualTo(Action.NONE);
    assertThat(monitor.onTick(100)).isEqualTo(Action.HEARTBEAT);
    assertThat(monitor.onTick(150)).isEqualTo(Action.NONE);
    assertThat(monitor.nextTickMs(150)).isEqualTo(150);
    assertThat(monitor.onTick(300)).isEqualTo(Action.DROP_SILENT);
  }

  @Test
  void receivedFrameClearsUnansweredState() {
    monitor.onMessageWritten(0);
    assertThat(monitor.onTick(100)).isEqualTo(Action.HEARTBEAT);
    monitor.onFrameReceived();
    assertThat(monitor.onTick(1_000)).isEqualTo(Action.NONE);
    assertThat(monitor.onTick(30_000)).isEqualTo(Action.CLOSE_IDLE);
  }
}
