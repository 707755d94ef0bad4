package org.limpetring.load;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.limpetring.base.Clock;
import org.limpetring.load.check.OutWindow;
import org.limpetring.load.report.Report.Mark;
import org.limpetring.load.schedule.Experiment;
import org.limpetring.store.HostEntry;
import org.limpetring.store.ObjectStore;
import org.limpetring.store.ReadResult;
import org.limpetring.store.WriteResult;
import org.limpetring.tables.ConfigKeys;

/** Performs faults and operators' acts, and keeps what was out of service when. */
final class StepRunner {

  private static final int TRIES = 20;

  private final StandinClient standin;
  private final ObjectStore store;
  private final List<HostEntry> hosts;
  private final SignalSender signals;
  private final List<OutWindow> windows = new ArrayList<>();
  private final List<Mark> marks = new ArrayList<>();

  StepRunner(
      StandinClient standin, ObjectStore store, List<HostEntry> hosts, SignalSender signals) {
    this.standin = standin;
    this.store = store;
    this.hosts = List.copyOf(hosts);
    this.signals = signals;
  }

  /** Performs one act at {@code atMs} after the start of the first phase. */
  synchronized void run(Experiment.Step step, long atMs) throws IOException {
    marks.add(new Mark(atMs, step.label()));
    if (step.fault() != null) {
      standin.apply(step.fault());
    } else if (step.signal() != null) {
      signals.send(step.signal(), String.valueOf(step.process()));
    } else if (step.out() != null) {
      takeOut(step.out());
    } else if (step.in() != null) {
      bringIn(step.in());
    }
  }

  synchronized List<OutWindow> windows() {
    return List.copyOf(windows);
  }

  synchronized List<Mark> marks() {
    return List.copyOf(marks);
  }

  private void takeOut(String target) throws IOException {
    write(key(target), true);
    windows.add(new OutWindow(target, hostsOf(target), Clock.wall().nowMs(), Long.MAX_VALUE));
  }

  private void bringIn(String target) throws IOException {
    long atMs = Clock.wall().nowMs();
    write(key(target), false);
    for (int index = 0; index < windows.size(); index++) {
      OutWindow window = windows.get(index);
      if (window.target().equals(target) && window.inAtMs() == Long.MAX_VALUE) {
        windows.set(index, new OutWindow(target, window.hosts(), window.outAtMs(), atMs));
      }
    }
  }

  private void write(String key, boolean mark) throws IOException {
    for (int tries = 0; tries < TRIES; tries++) {
      ReadResult read = store.get(key);
      boolean exists = read instanceof ReadResult.Found;
      if (exists == mark && !(read instanceof ReadResult.Unavailable)) {
        return;
      }
      WriteResult unused = write(key, read, mark);
    }
    throw new IOException("cannot write " + key);
  }

  private WriteResult write(String key, ReadResult read, boolean mark) {
    if (mark) {
      return store.put(key, ConfigKeys.OUT_VALUE, 0);
    }
    long version = read instanceof ReadResult.Found found ? found.object().version() : 0;
    return store.delete(key, version);
  }

  private String key(String target) {
    for (HostEntry host : hosts) {
      if (host.failureDomain().value().equals(target)) {
        return ConfigKeys.mark(host.failureDomain());
      }
      if (host.host().value().equals(target)) {
        return ConfigKeys.mark(host.host());
      }
    }
    throw new IllegalArgumentException("no such failure domain or host: " + target);
  }

  private Set<String> hostsOf(String target) {
    Set<String> names = new HashSet<>();
    for (HostEntry host : hosts) {
      if (host.failureDomain().value().equals(target) || host.host().value().equals(target)) {
        names.add(host.host().value());
      }
    }
    return names;
  }
}
