package org.limpetring.standin.platform;

import java.util.ArrayList;
import java.util.List;
import org.limpetring.standin.host.SimulatedHost;

/** The platform's host list, which reflects deaths and departures after a lag. */
public final class HostCatalogue {

  private final List<ListedHost> hosts;
  private final long lagMs;

  /** Lists {@code hosts} as they were {@code lagMs} ago. */
  public HostCatalogue(List<ListedHost> hosts, long lagMs) {
    this.hosts = List.copyOf(hosts);
    this.lagMs = lagMs;
  }

  /** Hosts that the platform currently lists. */
  public List<Entry> entries() {
    List<Entry> entries = new ArrayList<>();
    for (ListedHost listed : hosts) {
      if (listed.host().wasAlive(lagMs)) {
        entries.add(listed.entry().withLeaving(listed.host().wasLeaving(lagMs)));
      }
    }
    return entries;
  }

  /** Host and its entry in the list. */
  public record ListedHost(SimulatedHost host, Entry entry) {}

  /** Entry of the list, in the format of the platform interface. */
  public record Entry(
      String host,
      String address,
      String failureDomain,
      String fabricDomain,
      boolean leaving,
      int accelerators) {

    private Entry withLeaving(boolean isLeaving) {
      return new Entry(host, address, failureDomain, fabricDomain, isLeaving, accelerators);
    }
  }
}
