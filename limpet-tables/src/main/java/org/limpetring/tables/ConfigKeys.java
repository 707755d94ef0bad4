package org.limpetring.tables;

import org.limpetring.base.FailureDomain;
import org.limpetring.base.HostId;

/** Keys of the objects in the platform that hold configuration. */
public final class ConfigKeys {

  /** Operators' table of routes. */
  public static final String ROUTES = "tables/" + TableReader.ROUTES;

  /** Operators' table of pools. */
  public static final String POOLS = "tables/" + TableReader.POOLS;

  /** Prefix of both tables. */
  public static final String TABLES_PREFIX = "tables/";

  /** Prefix of all marks of what is out of service. */
  public static final String SERVICE_PREFIX = "service/";

  /** Prefix of the marks of failure domains. */
  public static final String DOMAIN_PREFIX = SERVICE_PREFIX + "domain/";

  /** Prefix of the marks of hosts. */
  public static final String HOST_PREFIX = SERVICE_PREFIX + "host/";

  /** The configuration in force. */
  public static final String ACCEPTED = "accepted";

  /** Value of a mark that takes something out of service. */
  public static final String OUT_VALUE = "{\"out\": true}";

  private ConfigKeys() {}

  /** Key of the mark of a failure domain. */
  public static String mark(FailureDomain domain) {
    return DOMAIN_PREFIX + domain;
  }

  /** Key of the mark of a host. */
  public static String mark(HostId host) {
    return HOST_PREFIX + host;
  }
}
