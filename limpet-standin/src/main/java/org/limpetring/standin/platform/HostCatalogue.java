package org.limpetring.standin.platform;

import java.util.ArrayList;
import java.util.List;
import org.limpetring.standin.host.SimulatedHost;

/** The platform's list of hosts, which learns of deaths and departures after a lag. */
public final class HostCatalogue {

  private final List<Listed> hosts;
  private final long lagMs;

  /** Lists {@code hosts} as they were {@code lagMs} ago. */
  public HostCatalogue(List<Listed> hosts, long lagMs) {
    this.hosts = List.copyOf(hosts);
    this.lagMs = lagMs;
  }

  /** The list as the platform sees it now. */
  public List<Entry> entries() {
    List<Entry> entries = new ArrayList<>();
    for (Listed listed : hosts) {
      if (listed.host().wasAlive(lagMs)) {
        entries.add(listed.entry().withLeaving(listed.host().wasLeaving(lagMs)));
      }
    }
    return entries;
  }

  /** Host and its line in the list. */
  public record Listed(SimulatedHost host, Entry entry) {}

  /** Line of the list, in the form of the platform interface. */
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
