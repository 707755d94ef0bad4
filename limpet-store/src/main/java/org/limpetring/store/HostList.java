package org.limpetring.store;

import java.util.List;

/** Port to the platform's list of hosts, which lags behind reality. */
public interface HostList {

  /** Reads the whole list. */
  Result read();

  /** Result of a reading. */
  sealed interface Result {

    /** The hosts as the platform sees them. */
    record Hosts(List<HostEntry> hosts) implements Result {
      /** Copies the list. */
      public Hosts {
        hosts = List.copyOf(hosts);
      }
    }

    /** The platform did not answer in time. */
    record Unavailable(String reason) implements Result {}
  }
}
