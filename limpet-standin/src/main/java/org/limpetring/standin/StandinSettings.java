package org.limpetring.standin;

import java.util.List;
import java.util.Objects;
import org.jspecify.annotations.Nullable;

/**
 * What one process of stand-ins runs.
 *
 * @param control socket that takes faults and serves the log
 * @param platform the platform, or null to run none
 * @param engines model engines
 * @param services plain services
 */
public record StandinSettings(
    Socket control,
    @Nullable Platform platform,
    List<Engine> engines,
    List<PlainService> services) {

  /** Fills in empty lists. */
  public StandinSettings {
    Objects.requireNonNull(control, "control");
    engines = copy(engines);
    services = copy(services);
  }

  private static <T> List<T> copy(@Nullable List<T> list) {
    return list == null ? List.of() : List.copyOf(list);
  }

  /** IP number and TCP port to listen on. */
  public record Socket(String address, int port) {}

  /**
   * The platform.
   *
   * @param hostListLagMs time by which the list of hosts lags
   * @param loadsAtOnce hosts that may fetch weights at the same time; 0 means any number
   */
  public record Platform(
      String address,
      int port,
      long hostListLagMs,
      List<Host> hosts,
      int loadsAtOnce,
      List<Weights> weights) {

    /** Fills in empty lists. */
    public Platform {
      hosts = copy(hosts);
      weights = copy(weights);
    }
  }

  /** Host as the platform lists it. */
  public record Host(
      String host, String address, String failureDomain, String fabricDomain, int accelerators) {}

  /** Weights of a model and the time for a host to fetch its part. */
  public record Weights(String model, String version, long loadMs) {}

  /**
   * Model engine.
   *
   * @param checksFencing whether it refuses an order with an old fencing number
   * @param loadMs time to load its part of a model that it does not hold
   * @param coldMs time from ready to warm
   * @param warmConcurrency requests at once when warm; more wait
   * @param coldConcurrency requests at once that it bears when cold
   * @param firstTokenMs time to the first event of an answer
   * @param msPerToken time between events
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

  /** Plain service that takes {@code callMs} for each call. */
  public record PlainService(String host, String address, int port, long callMs) {}
}
