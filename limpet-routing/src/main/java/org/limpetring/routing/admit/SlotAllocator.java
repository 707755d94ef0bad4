package org.limpetring.routing.admit;

import java.util.Optional;
import java.util.Set;
import org.limpetring.base.GroupId;
import org.limpetring.groups.ServingGroup;

/** Places of the groups of one pool; called under the gate's lock, so it must not block. */
public interface SlotAllocator {

  /** Occupies a place for {@code ticket}, or returns empty where all are taken. */
  Optional<ServingGroup> occupy(Ticket ticket);

  /** Whether any group outside of {@code excluded} serves, occupied or not. */
  boolean hasServingGroup(Set<GroupId> excluded);

  /** Gives a place back. */
  void vacate(ServingGroup group);

  /** Places in all groups. */
  int capacity();
}
