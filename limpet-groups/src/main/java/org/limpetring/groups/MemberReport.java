package org.limpetring.groups;

import java.util.List;
import org.jspecify.annotations.Nullable;
import org.limpetring.base.GroupId;
import org.limpetring.base.HostId;

/**
 * What the engine on one host says of itself.
 *
 * @param incarnation changes whenever the engine restarts
 * @param group group that it belongs to, or null
 * @param epoch fencing number of the order that it obeyed last
 * @param ready whether it has loaded its part and reaches its fellow members
 * @param warm whether it bears full load
 * @param leaving whether it is about to go
 * @param running requests in progress
 * @param waiting requests queued in the engine
 * @param heldModels models whose weights the host has on hand
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
