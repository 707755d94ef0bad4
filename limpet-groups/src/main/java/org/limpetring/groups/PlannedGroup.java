package org.limpetring.groups;

import java.util.List;
import org.limpetring.base.GroupId;
import org.limpetring.base.HostId;
import org.limpetring.base.PoolName;

/**
 * Group of a plan.
 *
 * @param model model that the members load
 * @param epoch plan epoch at which members or state last changed; the fencing token of its orders
 * @param members hosts in rank order; the first is the entry host
 */
public record PlannedGroup(
    GroupId id, PoolName pool, String model, long epoch, State state, List<HostId> members) {

  /** Copies the members, of which there is at least one. */
  public PlannedGroup {
    members = List.copyOf(members);
    if (members.isEmpty()) {
      throw new IllegalArgumentException("group without members: " + id);
    }
  }

  /** Host that receives the callers' requests. */
  public HostId entry() {
    return members.get(0);
  }

  /** The same group in another state, from {@code newEpoch} on. */
  public PlannedGroup withState(State newState, long newEpoch) {
    return new PlannedGroup(id, pool, model, newEpoch, newState, members);
  }

  /** The same group with other members, from {@code newEpoch} on. */
  public PlannedGroup withMembers(List<HostId> newMembers, long newEpoch) {
    return new PlannedGroup(id, pool, model, newEpoch, state, newMembers);
  }

  /** Planned state of the members. */
  public enum State {
    /** Load the model and accept requests. */
    SERVING(MemberOrder.Kind.JOIN),
    /** Finish requests in progress, accept no new ones and keep the weights. */
    DRAINING(MemberOrder.Kind.DRAIN),
    /** Load the model to be ready as a replacement; accept no requests. */
    STANDBY(MemberOrder.Kind.JOIN);

    private final MemberOrder.Kind order;

    State(MemberOrder.Kind order) {
      this.order = order;
    }

    /** Kind of order that puts a member into this state. */
    public MemberOrder.Kind order() {
      return order;
    }
  }
}
