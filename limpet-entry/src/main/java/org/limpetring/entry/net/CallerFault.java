package org.limpetring.entry.net;

/** Reason for which the daemon refuses a caller's request or closes its connection. */
public enum CallerFault {
  /** Memory for callers is full and this connection's part has to give way. */
  MEMORY_FULL,
  /** A head was not complete within the time limit. */
  HEAD_TIMEOUT,
  /** A body was not complete within the time limit, or nothing of it arrived for too long. */
  BODY_TIMEOUT,
  /** No request for too long. */
  IDLE_TIMEOUT,
  /** Responses are not read, or too slowly. */
  NOT_READING,
  /** The limit of connections is reached. */
  CONNECTIONS_FULL,
  /** A body exceeds the limit. */
  BODY_TOO_LARGE,
  /** A head exceeds the limit. */
  HEAD_TOO_LARGE,
  /** So many requests are pipelined that the connection is not read for a while. */
  PIPELINE_FULL
}
