package org.limpetring.standin.host;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Fault to inject.
 *
 * @param target name of a host, {@code platform}, a failure domain or a fabric domain
 * @param factor for {@link Kind#SLOW}: multiplier for each duration of work
 * @param delayMs for {@link Kind#SLOW}: time added to each step of work
 * @param count number of responses to lose, cross or truncate; 0 means one
 */
public record Fault(String target, Kind fault, double factor, long delayMs, int count) {

  /** Number of responses affected, at least one. */
  public int countOrOne() {
    return Math.max(1, count);
  }

  /** Kind of fault. */
  public enum Kind {
    /** The process dies and refuses connections; healing starts a new incarnation. */
    @JsonProperty("kill")
    KILL,
    /** The process is suspended with its connections open. */
    @JsonProperty("pause")
    PAUSE,
    /** Work takes longer. */
    @JsonProperty("slow")
    SLOW,
    /** The engine is cold again, without a new incarnation. */
    @JsonProperty("cold")
    COLD,
    /** The work is executed, then the connection is closed without a response. */
    @JsonProperty("lostAnswer")
    LOST_ANSWER,
    /** The response to an earlier request is sent instead. */
    @JsonProperty("crossedAnswer")
    CROSSED_ANSWER,
    /** The response ends early: a stream as if it were complete, a body by a closed connection. */
    @JsonProperty("truncate")
    TRUNCATE,
    /** Connections that are open at injection carry no more data; new ones work. */
    @JsonProperty("silent")
    SILENT,
    /** Orders are applied regardless of their fencing token. */
    @JsonProperty("ignoreFencing")
    IGNORE_FENCING,
    /** The platform rejects every call. */
    @JsonProperty("down")
    DOWN,
    /** The host announces its departure; the host list shows this after its lag. */
    @JsonProperty("leaving")
    LEAVING,
    /** Clears all faults on the target, except silenced connections. */
    @JsonProperty("heal")
    HEAL
  }
}
