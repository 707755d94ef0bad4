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

  /** Upstreams by id; each writes its own entry. */
  public static final ObjectKind<Upstream> UPSTREAMS = new ObjectKind<>("upstreams");

  /** Failure domains that operators took out of service; the value equals the name. */
  public static final ObjectKind<String> DOMAINS_OUT = new ObjectKind<>("domains-out");

  /** Planned groups; one object that the system writes. */
  public static final ObjectKind<GroupPlan> PLAN = new ObjectKind<>("plan");

  /** Daemons; objects that the system writes. */
  public static final ObjectKind<DaemonEntry> DAEMONS = new ObjectKind<>("daemons");
}
