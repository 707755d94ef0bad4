package org.limpetring.groups.monitor;

import org.limpetring.groups.ServingGroup;

/**
 * What one observer says of one group.
 *
 * @param group the group as the request path would use it
 * @param ageMs time since the oldest of the members' reports was asked for
 * @param reason why the group does not serve; empty if it does
 */
public record ObservedGroup(ServingGroup group, Verdict verdict, long ageMs, String reason) {

  /** Verdict of an observer, weakest first. */
  public enum Verdict {
    /** A member is silent; another observer may still reach it. */
    SILENT,
    /** Each member has lately confirmed group and epoch. */
    WHOLE,
    /** A member, the plan or an operator contradicts the group. */
    CONTRADICTED
  }
}
