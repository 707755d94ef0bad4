package org.limpetring.daemon.wiring;

import com.google.inject.Inject;
import org.limpetring.fleet.Role;
import org.limpetring.fleet.Roster;
import org.limpetring.fleet.node.FleetNode;
import org.limpetring.fleet.node.FleetView;
import org.limpetring.tables.AcceptedConfig;

/** Fleet port that reads the newest snapshot of the fleet node. */
public final class FleetNodeAdapter implements FleetPort {

  private final FleetNode node;

  /** Reads the snapshots of {@code node}. */
  @Inject
  public FleetNodeAdapter(FleetNode node) {
    this.node = node;
  }

  @Override
  public AcceptedConfig config() {
    return node.view().config();
  }

  @Override
  public boolean isReady() {
    return node.view().config().generation() > 0;
  }

  @Override
  public boolean isFresh(long nowMs) {
    return node.view().isFresh(nowMs);
  }

  @Override
  public Roster roster() {
    return node.view().roster();
  }

  @Override
  public boolean earlierRolesExpired(long nowMs) {
    return node.view().roles().unretiredEpochs().stream().allMatch(wait -> nowMs >= wait.endAtMs());
  }

  @Override
  public boolean holds(Role role, long nowMs) {
    FleetView view = node.view();
    return view.mayAct(role, nowMs);
  }
}
