package org.limpetring.daemon.wiring;

import com.google.inject.Inject;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.atomic.AtomicReference;
import org.limpetring.store.HostEntry;
import org.limpetring.store.HostList;
import org.limpetring.store.WeightStore;

/** Caches the host list and the limits of the weight store; a failed read keeps the last values. */
public final class HostPoller {

  private static final WeightStore.Result.Limits NO_LIMITS =
      new WeightStore.Result.Limits(Integer.MAX_VALUE, List.of());

  private final HostList hostList;
  private final WeightStore weightStore;
  private final AtomicReference<List<HostEntry>> hosts = new AtomicReference<>(List.of());
  private final AtomicReference<WeightStore.Result.Limits> limits =
      new AtomicReference<>(NO_LIMITS);

  /** Reads from both ports whenever {@link #poll} is called. */
  @Inject
  public HostPoller(HostList hostList, WeightStore weightStore) {
    this.hostList = hostList;
    this.weightStore = weightStore;
  }

  /** Reads the host list and the limits once. */
  public void poll() {
    if (hostList.read() instanceof HostList.Result.Hosts read) {
      hosts.set(read.hosts());
    }
    if (weightStore.read() instanceof WeightStore.Result.Limits read) {
      limits.set(read);
    }
  }

  /** Hosts as last read. */
  public List<HostEntry> hosts() {
    return Objects.requireNonNull(hosts.get());
  }

  /** Limits as last read. */
  public WeightStore.Result.Limits limits() {
    return Objects.requireNonNull(limits.get());
  }
}
