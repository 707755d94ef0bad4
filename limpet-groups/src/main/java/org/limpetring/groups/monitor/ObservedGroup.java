package org.limpetring.groups.monitor;

import org.limpetring.groups.ServingGroup;

/**
 * State of one group as seen by one observer.
 *
 * @param group the group as the request path would use it
 * @param ageMs time since the oldest of the members' reports was requested
 * @param reason why the group does not serve; empty if it does
 */
public record ObservedGroup(ServingGroup group, Verdict verdict, long ageMs, String reason) {

  /** Verdict of an observer, in ascending order of precedence. */
  public enum Verdict {
    /** A member does not respond to this observer; another observer may still reach it. */
    SILENT,
    /** Each member has confirmed group and epoch in a fresh report. */
    WHOLE,
    /** A member report, the plan or a service mark contradicts the group. */
    CONTRADICTED
  }
}
