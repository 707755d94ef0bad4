package org.limpetring.entryd.soak;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import org.limpetring.entryd.StandinConfig;
import org.limpetring.entryd.StandinPlatform;
import org.limpetring.entryd.StandinUpstream;
import org.limpetring.entryd.StandinUpstream.Fault;

/** Store, engines, a plain service, daemons as processes, and what was seen of them. */
final class SoakCluster implements AutoCloseable {

  private static final int DAEMONS = 3;
  private static final int ENGINES = 5;

  final StandinPlatform store = new StandinPlatform();
  final List<LoopbackProxy> storeProxies = new ArrayList<>();
  final List<LoopbackProxy> upstreamProxies = new ArrayList<>();
  final List<DaemonProcess> daemons = new ArrayList<>();
  final AtomicReference<Fault> engineFault = new AtomicReference<>(Fault.NONE);
  final AtomicReference<Fault> plainFault = new AtomicReference<>(Fault.NONE);
  final AtomicInteger answered = new AtomicInteger();

  /** Broken promises, in words. */
  final Queue<String> violations = new ConcurrentLinkedQueue<>();

  /** Requests of which a caller was told that they have not run and never will. */
  private final Map<String, Integer> saidNotRun = new ConcurrentHashMap<>();

  private final Map<Integer, Integer> proxyPorts = new ConcurrentHashMap<>();
  private final List<StandinUpstream> engines = new ArrayList<>();
  private final StandinUpstream plain;
  private int version = 1;

  SoakCluster(Path directory) throws IOException {
    configure("k");
    for (int i = 0; i < ENGINES; i++) {
      StandinUpstream engine =
          new StandinUpstream("i-" + i, "engines", true, store, engineFault, this::proxied);
      engine.checkJoins(group -> checkJoin(engine, group));
      engines.add(engine);
    }
    plain = new StandinUpstream("p-1", "plain", false, store, plainFault, this::proxied);
    for (int i = 0; i < DAEMONS; i++) {
      LoopbackProxy proxy = new LoopbackProxy(store.address().getPort());
      storeProxies.add(proxy);
      daemons.add(new DaemonProcess("d" + i, directory, proxy.port()));
    }
  }

  /** Port of the proxy before an upstream's own port; made when it is first listed. */
  private synchronized int proxied(int port) {
    return proxyPorts.computeIfAbsent(
        port,
        target -> {
          try {
            LoopbackProxy proxy = new LoopbackProxy(target);
            upstreamProxies.add(proxy);
            return proxy.port();
          } catch (IOException failure) {
            throw new IllegalStateException("no port for a proxy", failure);
          }
        });
  }

  /** Writes a newer configuration in which {@code key} is the only key. */
  void configure(String key) {
    version += 3;
    store.put("config", "main", StandinConfig.json(version, key));
  }

  /** A host joins another group only when it has left the one whose head still serves. */
  private void checkJoin(StandinUpstream engine, String nextGroup) {
    String group = StandinUpstream.value(engine.group(), "name");
    if (group.isEmpty() || group.equals(nextGroup)) {
      return;
    }
    for (StandinUpstream other : engines) {
      String held = other.group();
      if (held.contains("\"open\"") && StandinUpstream.value(held, "name").equals(group)) {
        violations.add(
            engine.id + " joins " + nextGroup + " while " + other.id + " serves " + group);
      }
    }
  }

  /** Checks a whole answer as its caller sees it. */
  void onAnswer(String path, String id, Caller.Answer answer) {
    int status = answer.status();
    if (status == 200) {
      answered.incrementAndGet();
      boolean isWhole =
          path.startsWith("/s/")
              ? answer.body().equals(StandinUpstream.WHOLE)
              : answer.body().equals("answer of p-1");
      if (!isWhole || !answer.headers().containsKey("x-limpetring-server-seal")) {
        violations.add(id + " got " + answer);
      }
    } else if (status == 429 || status == 503 || status == 408 || status == 421) {
      saidNotRun.put(id, status);
    } else if (status < 500) {
      violations.add(id + " on " + path + " was denied: " + status);
    }
  }

  /** Checks what the upstreams ran against what callers were told. */
  void checkRuns() {
    Map<String, Integer> runs = new ConcurrentHashMap<>();
    for (Map<String, String> request : plain.ran) {
      String id = request.getOrDefault("x-limpetring-request-id", "");
      boolean isOrder = request.getOrDefault("line", "").startsWith("POST /o/");
      if (runs.merge(id, 1, Integer::sum) > 1 && isOrder) {
        violations.add(id + " is not idempotent and ran twice");
      }
      if (isOrder && saidNotRun.containsKey(id)) {
        violations.add(id + " ran, and its caller was told " + saidNotRun.get(id));
      }
      boolean isTeam = "team".equals(request.get("x-limpetring-tenant"));
      if (!isTeam || request.containsKey("x-limpetring-key")) {
        violations.add(id + " reached the service with the wrong team or with its key");
      }
    }
  }

  @Override
  public void close() throws IOException {
    for (DaemonProcess daemon : daemons) {
      daemon.close();
    }
    for (LoopbackProxy proxy : storeProxies) {
      proxy.close();
    }
    for (LoopbackProxy proxy : upstreamProxies) {
      proxy.close();
    }
    for (StandinUpstream engine : engines) {
      engine.close();
    }
    plain.close();
    store.close();
  }
}
