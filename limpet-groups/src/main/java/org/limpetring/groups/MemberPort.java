package org.limpetring.groups;

/** Client of the control interface of upstreams; its calls block. */
public interface MemberPort {

  /** Fetches the report of the upstream at {@code ip:port}. */
  ReportResult report(String address);

  /** Sends an order to the upstream at {@code ip:port}. */
  OrderResult order(String address, MemberOrder order);
}
