package org.limpetring.peer;

import org.limpetring.base.DaemonId;

/**
 * Settings of the transport between daemons.
 *
 * @param self id of this daemon
 * @param bindIp IP address to listen on
 * @param port TCP port to listen on; 0 for an ephemeral port
 * @param connectTimeoutMs timeout of a connection attempt and of a TLS handshake
 * @param heartbeatMs time that the first unanswered frame may wait before a heartbeat is sent
 * @param silenceTimeoutMs time that the first unanswered frame may wait before the connection is
 *     dropped and reopened
 * @param idleTimeoutMs time without messages after which a connection is closed
 * @param maxQueuedFrames limit of frames queued for one peer
 * @param maxInboundConnections limit of concurrent connections from peers
 * @param handlerThreads threads of each handler executor: one for blocking, one for non-blocking
 *     messages
 */
public record PeerSettings(
    DaemonId self,
    String bindIp,
    int port,
    long connectTimeoutMs,
    long heartbeatMs,
    long silenceTimeoutMs,
    long idleTimeoutMs,
    int maxQueuedFrames,
    int maxInboundConnections,
    int handlerThreads) {

  /** Maximum frame size in bytes, without the length prefix. */
  public static final int MAX_FRAME_BYTES = 1_048_576;

  /**
   * Rejects non-positive times and sizes, and a silence timeout that does not exceed the heartbeat
   * time.
   */
  public PeerSettings {
    if (connectTimeoutMs <= 0 || heartbeatMs <= 0 || idleTimeoutMs <= 0) {
      throw new IllegalArgumentException("peer times must be positive");
    }
    if (silenceTimeoutMs <= heartbeatMs) {
      throw new IllegalArgumentException(
          "silence timeout must be longer than the heartbeat interval");
    }
    if (maxQueuedFrames <= 0 || maxInboundConnections <= 0 || handlerThreads <= 0) {
      throw new IllegalArgumentException("peer sizes must be positive");
    }
  }

  /** Returns settings with the default timeouts and limits. */
  public static PeerSettings withDefaults(DaemonId self, String bindIp, int port) {
    return new PeerSettings(self, bindIp, port, 500, 500, 1_500, 1_800_000, 256, 1_024, 4);
  }
}
