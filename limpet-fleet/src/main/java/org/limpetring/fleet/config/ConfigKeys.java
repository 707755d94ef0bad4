package org.limpetring.fleet.config;

/** Keys of the objects that make up the configuration. */
public final class ConfigKeys {

  /** Prefix of both tables. */
  public static final String TABLES_PREFIX = "tables/";

  /** The table of routes. */
  public static final String ROUTES = TABLES_PREFIX + "routes";

  /** The table of pools. */
  public static final String POOLS = TABLES_PREFIX + "pools";

  /** Prefix of all marks that take something out of service. */
  public static final String SERVICE_PREFIX = "service/";

  /** Prefix of the marks of failure domains. */
  public static final String OUT_DOMAIN_PREFIX = SERVICE_PREFIX + "domain/";

  /** Prefix of the marks of hosts. */
  public static final String OUT_HOST_PREFIX = SERVICE_PREFIX + "host/";

  /** The accepted configuration; also the name of the topic that spreads it. */
  public static final String ACCEPTED = "accepted";

  private ConfigKeys() {}
}
