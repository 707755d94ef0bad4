package org.limpetring.peer;

import org.limpetring.base.DaemonId;

/**
 * Settings of the transport between daemons.
 *
 * @param self name of this daemon
 * @param bindIp IP number to listen on
 * @param port TCP port to listen on; 0 for any
 * @param connectTimeoutMs longest time to open a connection
 * @param heartbeatMs time without an answer to the first unanswered frame before a heartbeat
 * @param silenceMs time without an answer to the first unanswered frame before the connection is
 *     dropped and the address tried anew
 * @param idleCloseMs time without messages after which a connection is closed
 * @param queueFrames frames that may wait towards one peer
 * @param maxInbound connections accepted at once
 * @param handlerThreads threads that run the handler, for quick and for waiting messages each
 */
public record PeerSettings(
    DaemonId self,
    String bindIp,
    int port,
    long connectTimeoutMs,
    long heartbeatMs,
    long silenceMs,
    long idleCloseMs,
    int queueFrames,
    int maxInbound,
    int handlerThreads) {

  /** Longest frame, in bytes without its length prefix. */
  public static final int MAX_FRAME_BYTES = 1_048_576;

  /** Rejects times and sizes that are not positive, and a silence shorter than a heartbeat. */
  public PeerSettings {
    if (connectTimeoutMs <= 0 || heartbeatMs <= 0 || idleCloseMs <= 0) {
      throw new IllegalArgumentException("peer times must be positive");
    }
    if (silenceMs <= heartbeatMs) {
      throw new IllegalArgumentException("silence must be longer than the heartbeat interval");
    }
    if (queueFrames <= 0 || maxInbound <= 0 || handlerThreads <= 0) {
      throw new IllegalArgumentException("peer sizes must be positive");
    }
  }

  /** Settings with the usual deadlines. */
  public static PeerSettings withDefaults(DaemonId self, String bindIp, int port) {
    return new PeerSettings(self, bindIp, port, 500, 500, 1_500, 1_800_000, 256, 1_024, 4);
  }
}
