package org.limpetring.tables;

import java.util.Set;
import org.limpetring.base.FailureDomain;
import org.limpetring.base.HostId;

/** Failure domains and hosts that operators have taken out of service. */
public record ServiceMarks(Set<FailureDomain> outDomains, Set<HostId> outHosts) {

  /** No marks: everything is in service. */
  public static final ServiceMarks NONE = new ServiceMarks(Set.of(), Set.of());

  /** Copies the sets. */
  public ServiceMarks {
    outDomains = Set.copyOf(outDomains);
    outHosts = Set.copyOf(outHosts);
  }

  /** Whether a host, by itself or with its failure domain, must not receive new work. */
  public boolean isOut(HostId host, FailureDomain domain) {
    return outHosts.contains(host) || outDomains.contains(domain);
  }
}
