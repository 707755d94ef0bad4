package org.limpetring.standin;

import java.util.List;
import java.util.Objects;
import org.jspecify.annotations.Nullable;

/**
 * Settings of one stand-in process.
 *
 * @param control socket that accepts faults and serves the request log
 * @param platform the platform, or null to run without one
 * @param engines model engines
 * @param services plain services
 */
public record StandinSettings(
    Socket control,
    @Nullable Platform platform,
    List<Engine> engines,
    List<PlainService> services) {

  /** Replaces missing lists by empty ones. */
  public StandinSettings {
    Objects.requireNonNull(control, "control");
    engines = copy(engines);
    services = copy(services);
  }

  private static <T> List<T> copy(@Nullable List<T> list) {
    return list == null ? List.of() : List.copyOf(list);
  }

  /** IP address and TCP port to listen on. */
  public record Socket(String address, int port) {}

  /**
   * The platform.
   *
   * @param hostListLagMs delay until a change of a host appears in the host list
   * @param loadsAtOnce maximum number of hosts that load weights concurrently; 0 means unlimited
   */
  public record Platform(
      String address,
      int port,
      long hostListLagMs,
      List<Host> hosts,
      int loadsAtOnce,
      List<Weights> weights) {

    /** Replaces missing lists by empty ones. */
    public Platform {
      hosts = copy(hosts);
      weights = copy(weights);
    }
  }

  /** Entry of the platform's host list. */
  public record Host(
      String host, String address, String failureDomain, String fabricDomain, int accelerators) {}

  /** Weights of a model and the time that a host takes to load its part. */
  public record Weights(String model, String version, long loadMs) {}

  /**
   * Model engine.
   *
   * @param checksFencing whether it rejects an order with an outdated fencing token (epoch)
   * @param loadMs time to load its part of a model that is not held yet
   * @param coldMs time from loaded to warm
   * @param warmConcurrency maximum concurrent requests while warm; further ones are queued
   * @param coldConcurrency concurrent requests that it sustains while cold
   * @param firstTokenMs time to the first event of a response
   * @param msPerToken time between two events
   */
  public record Engine(
      String host,
      String address,
      int port,
      boolean checksFencing,
      long loadMs,
      long coldMs,
      int warmConcurrency,
      int coldConcurrency,
      long firstTokenMs,
      long msPerToken) {}

  /** Plain service whose calls take {@code callMs} each. */
  public record PlainService(String host, String address, int port, long callMs) {}
}
