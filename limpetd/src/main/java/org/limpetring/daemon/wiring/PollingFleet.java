package org.limpetring.daemon.wiring;

import com.google.inject.Inject;
import java.util.HashSet;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.atomic.AtomicReference;
import org.limpetring.base.FailureDomain;
import org.limpetring.base.HostId;
import org.limpetring.fleet.Role;
import org.limpetring.platform.ListResult;
import org.limpetring.platform.ObjectStore;
import org.limpetring.platform.ReadResult;
import org.limpetring.platform.StoredObject;
import org.limpetring.tables.AcceptedConfig;
import org.limpetring.tables.Checked;
import org.limpetring.tables.ConfigKeys;
import org.limpetring.tables.ServiceMarks;
import org.limpetring.tables.TableChecks;

/** Fleet of one: each daemon joins the tables by itself and holds every role. */
public final class PollingFleet implements FleetPort {

  private final ObjectStore store;
  private final AtomicReference<AcceptedConfig> config = new AtomicReference<>(AcceptedConfig.NONE);

  /** Reads the tables from {@code store} whenever {@link #poll} is called. */
  @Inject
  public PollingFleet(ObjectStore store) {
    this.store = store;
  }

  /** Reads the tables and the marks once. */
  public void poll() {
    ReadResult routes = store.get(ConfigKeys.ROUTES);
    ReadResult pools = store.get(ConfigKeys.POOLS);
    ListResult marks = store.list(ConfigKeys.SERVICE_PREFIX);
    if (!(routes instanceof ReadResult.Found foundRoutes)
        || !(pools instanceof ReadResult.Found foundPools)
        || !(marks instanceof ListResult.Listed listed)) {
      return;
    }
    Checked<TableChecks.JoinedTables> joined =
        TableChecks.join(foundRoutes.object().value(), foundPools.object().value());
    if (joined instanceof Checked.Valid<TableChecks.JoinedTables> valid) {
      config.set(
          new AcceptedConfig(
              listed.revision(),
              listed.revision(),
              valid.value().routes(),
              valid.value().pools(),
              readMarks(listed)));
    }
  }

  private static ServiceMarks readMarks(ListResult.Listed listed) {
    Set<FailureDomain> domains = new HashSet<>();
    Set<HostId> hosts = new HashSet<>();
    for (StoredObject object : listed.objects()) {
      if (object.key().startsWith(ConfigKeys.DOMAIN_PREFIX)) {
        domains.add(new FailureDomain(object.key().substring(ConfigKeys.DOMAIN_PREFIX.length())));
      } else if (object.key().startsWith(ConfigKeys.HOST_PREFIX)) {
        hosts.add(new HostId(object.key().substring(ConfigKeys.HOST_PREFIX.length())));
      }
    }
    return new ServiceMarks(domains, hosts);
  }

  @Override
  public AcceptedConfig config() {
    return Objects.requireNonNull(config.get());
  }

  @Override
  public boolean isReady() {
    return config().generation() > 0;
  }

  @Override
  public boolean isFresh(long nowMs) {
    return true;
  }

  @Override
  public boolean holds(Role role, long nowMs) {
    return true;
  }
}
