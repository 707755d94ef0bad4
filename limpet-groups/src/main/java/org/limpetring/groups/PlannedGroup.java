package org.limpetring.groups;

import java.util.List;
import org.limpetring.base.GroupId;
import org.limpetring.base.HostId;
import org.limpetring.base.PoolName;

/**
 * Group as planned.
 *
 * @param model model that the members load
 * @param epoch plan epoch at which members or state last changed; the fencing number of its orders
 * @param members hosts in rank order; the first takes the callers' requests
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

  /** Host that takes the callers' requests. */
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

  /** What the members shall do. */
  public enum State {
    /** Load the model and take requests. */
    SERVING(MemberOrder.Kind.JOIN),
    /** Finish requests in progress, take no new one and keep the weights. */
    DRAINING(MemberOrder.Kind.DRAIN),
    /** Load the model to be ready as a replacement; takes no request. */
    STANDBY(MemberOrder.Kind.JOIN);

    private final MemberOrder.Kind order;

    State(MemberOrder.Kind order) {
      this.order = order;
    }

    /** Order that brings a member into this state. */
    public MemberOrder.Kind order() {
      return order;
    }
  }
}
