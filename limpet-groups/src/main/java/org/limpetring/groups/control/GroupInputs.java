package org.limpetring.groups.control;

import java.util.List;
import org.limpetring.base.FabricDomain;
import org.limpetring.base.HostId;
import org.limpetring.store.HostEntry;
import org.limpetring.store.WeightStore;
import org.limpetring.tables.AcceptedConfig;

/** What the controller asks of the rest of the daemon; each call answers from memory. */
public interface GroupInputs {

  /** Configuration in force. */
  AcceptedConfig config();

  /** The platform's host list as last read. */
  List<HostEntry> hosts();

  /** Limits of the weight store as last read. */
  WeightStore.Result.Limits weights();

  /** Whether this daemon may plan and order in {@code domain} right now. */
  boolean mayPlan(FabricDomain domain);

  /** Whether this daemon observes the group whose entry is {@code host}. */
  boolean observes(HostId host);
}
