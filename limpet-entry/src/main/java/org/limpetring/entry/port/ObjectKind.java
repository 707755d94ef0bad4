package org.limpetring.entry.port;

import org.limpetring.entry.model.DaemonEntry;
import org.limpetring.entry.model.EntryConfig;
import org.limpetring.entry.model.GroupPlan;
import org.limpetring.entry.model.Upstream;

/**
 * Kind of object in the platform's store, with the type of its values.
 *
 * @param label name in logs and metrics
 */
public record ObjectKind<T>(String label) {

  /** The operators' configuration; one object. */
  public static final ObjectKind<EntryConfig> CONFIG = new ObjectKind<>("config");

  /** Upstreams, named by their ids; they list themselves. */
  public static final ObjectKind<Upstream> UPSTREAMS = new ObjectKind<>("upstreams");

  /** Failure domains that operators have taken out; the value repeats the name. */
  public static final ObjectKind<String> DOMAINS_OUT = new ObjectKind<>("domains-out");

  /** Planned groups; one object of the system's own. */
  public static final ObjectKind<GroupPlan> PLAN = new ObjectKind<>("plan");

  /** Daemons; objects of the system's own. */
  public static final ObjectKind<DaemonEntry> DAEMONS = new ObjectKind<>("daemons");
}
