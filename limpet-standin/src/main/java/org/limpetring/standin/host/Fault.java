package org.limpetring.standin.host;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Fault to put into effect.
 *
 * @param target host, {@code platform}, failure domain or fabric domain
 * @param factor for {@link Kind#SLOW}: factor on each duration of work
 * @param delayMs for {@link Kind#SLOW}: time added to each step of work
 * @param count for answers that are lost, crossed or truncated: how many; 0 stands for one
 */
public record Fault(String target, Kind fault, double factor, long delayMs, int count) {

  /** Number of answers to hit. */
  public int countOrOne() {
    return Math.max(1, count);
  }

  /** Kind of fault. */
  public enum Kind {
    /** The process dies; connections are refused until healed, then with a new incarnation. */
    @JsonProperty("kill")
    KILL,
    /** The process stands still with its connections open. */
    @JsonProperty("pause")
    PAUSE,
    /** Work takes longer. */
    @JsonProperty("slow")
    SLOW,
    /** The engine is cold again, without a new incarnation. */
    @JsonProperty("cold")
    COLD,
    /** The work is done and the connection closed without an answer. */
    @JsonProperty("lostAnswer")
    LOST_ANSWER,
    /** The answer to an earlier request is sent instead. */
    @JsonProperty("crossedAnswer")
    CROSSED_ANSWER,
    /** The answer ends early, as if it were whole. */
    @JsonProperty("truncate")
    TRUNCATE,
    /** Connections that are open now carry nothing more; new ones work. */
    @JsonProperty("silent")
    SILENT,
    /** Orders are obeyed whatever their fencing number. */
    @JsonProperty("ignoreFencing")
    IGNORE_FENCING,
    /** The platform refuses each call. */
    @JsonProperty("down")
    DOWN,
    /** The host is about to go; the list of hosts says so after its lag. */
    @JsonProperty("leaving")
    LEAVING,
    /** Ends each fault on the target, except silenced connections. */
    @JsonProperty("heal")
    HEAL
  }
}
