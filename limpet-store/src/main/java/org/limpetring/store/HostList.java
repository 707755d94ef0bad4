package org.limpetring.store;

import java.util.List;

/** Port to the platform's list of hosts, which may be out of date. */
public interface HostList {

  /** Reads the whole list. */
  Result read();

  /** Result of a read. */
  sealed interface Result {

    /** All hosts known to the platform. */
    record Hosts(List<HostEntry> hosts) implements Result {
      /** Copies the list. */
      public Hosts {
        hosts = List.copyOf(hosts);
      }
    }

    /** The read failed, for instance because the platform did not respond in time. */
    record Unavailable(String reason) implements Result {}
  }
}
