package org.limpetring.routing.admit;

import java.util.Optional;
import java.util.Set;
import org.limpetring.base.GroupId;
import org.limpetring.groups.ServingGroup;

/**
 * Allocates request slots of the groups of one pool. Called while holding the gate's lock, so
 * implementations must not block.
 */
public interface SlotAllocator {

  /** Acquires a slot for {@code ticket}; empty if no slot is free. */
  Optional<ServingGroup> acquire(Ticket ticket);

  /** Whether any group not in {@code excluded} serves, regardless of free slots. */
  boolean hasServingGroup(Set<GroupId> excluded);

  /** Releases a slot of {@code group}. */
  void release(ServingGroup group);

  /** Returns the number of slots of all groups. */
  int capacity();
}
