package org.limpetring.tables;

import java.util.Set;
import org.limpetring.base.FailureDomain;
import org.limpetring.base.HostId;

/** What operators have taken out of service. */
public record ServiceMarks(Set<FailureDomain> outDomains, Set<HostId> outHosts) {

  /** Everything in service. */
  public static final ServiceMarks NONE = new ServiceMarks(Set.of(), Set.of());

  /** Copies the sets. */
  public ServiceMarks {
    outDomains = Set.copyOf(outDomains);
    outHosts = Set.copyOf(outHosts);
  }

  /** Whether a host must get no new work. */
  public boolean isOut(HostId host, FailureDomain domain) {
    return outHosts.contains(host) || outDomains.contains(domain);
  }
}
