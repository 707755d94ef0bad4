package org.limpetring.groups.control;

import java.util.List;
import org.limpetring.base.FabricDomain;
import org.limpetring.base.HostId;
import org.limpetring.store.HostEntry;
import org.limpetring.store.WeightStore;
import org.limpetring.tables.AcceptedConfig;

/**
 * Inputs of the controller from the rest of the daemon; all calls read from memory and do not
 * block.
 */
public interface GroupInputs {

  /** Current configuration. */
  AcceptedConfig config();

  /** The platform's host list as last read. */
  List<HostEntry> hosts();

  /** Limits of the weight store as last read. */
  WeightStore.Result.Limits weights();

  /** Whether this daemon may currently plan and send orders in {@code domain}. */
  boolean mayPlan(FabricDomain domain);

  /** Whether this daemon observes the group whose entry is {@code host}. */
  boolean observes(HostId host);
}
