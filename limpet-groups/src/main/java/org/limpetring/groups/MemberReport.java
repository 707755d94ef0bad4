package org.limpetring.groups;

import java.util.List;
import org.jspecify.annotations.Nullable;
import org.limpetring.base.GroupId;
import org.limpetring.base.HostId;

/**
 * Status report of the engine on one host.
 *
 * @param incarnation changes whenever the engine restarts
 * @param group group that the engine belongs to, or null
 * @param epoch fencing token of the last order that the engine applied
 * @param ready whether the engine has loaded its part of the model and is connected to the other
 *     members
 * @param warm whether the engine sustains full load
 * @param leaving whether the host is about to leave
 * @param running requests in progress
 * @param waiting requests queued in the engine
 * @param heldModels models whose weights are on the host
 */
public record MemberReport(
    HostId host,
    String incarnation,
    @Nullable GroupId group,
    long epoch,
    boolean ready,
    boolean warm,
    boolean leaving,
    int running,
    int waiting,
    List<String> heldModels) {

  /** Copies the models. */
  public MemberReport {
    heldModels = List.copyOf(heldModels);
  }
}
