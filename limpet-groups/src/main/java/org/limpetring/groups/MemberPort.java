package org.limpetring.groups;

/** Port to the control interface of upstreams; blocks the calling thread. */
public interface MemberPort {

  /** Asks the upstream at {@code ip:port} for its report. */
  ReportResult report(String address);

  /** Sends an order to the upstream at {@code ip:port}. */
  OrderResult order(String address, MemberOrder order);
}
