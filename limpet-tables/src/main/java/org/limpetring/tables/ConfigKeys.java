package org.limpetring.tables;

import org.limpetring.base.FailureDomain;
import org.limpetring.base.HostId;

/** Keys of the configuration objects in the platform's store. */
public final class ConfigKeys {

  /** Key of the operators' table of routes. */
  public static final String ROUTES = "tables/" + TableReader.ROUTES;

  /** Key of the operators' table of pools. */
  public static final String POOLS = "tables/" + TableReader.POOLS;

  /** Key prefix of both tables. */
  public static final String TABLES_PREFIX = "tables/";

  /** Key prefix of all service marks. */
  public static final String SERVICE_PREFIX = "service/";

  /** Key prefix of the service marks of failure domains. */
  public static final String DOMAIN_PREFIX = SERVICE_PREFIX + "domain/";

  /** Key prefix of the service marks of hosts. */
  public static final String HOST_PREFIX = SERVICE_PREFIX + "host/";

  /** Key of the accepted configuration. */
  public static final String ACCEPTED = "accepted";

  /** Value of a service mark that takes a host or failure domain out of service. */
  public static final String OUT_VALUE = "{\"out\": true}";

  private ConfigKeys() {}

  /** Key of the service mark of a failure domain. */
  public static String mark(FailureDomain domain) {
    return DOMAIN_PREFIX + domain;
  }

  /** Key of the service mark of a host. */
  public static String mark(HostId host) {
    return HOST_PREFIX + host;
  }
}
