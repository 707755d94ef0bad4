package org.limpetring.load;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.limpetring.base.Clock;
import org.limpetring.load.check.OutOfServiceWindow;
import org.limpetring.load.report.Report.Mark;
import org.limpetring.load.schedule.Experiment;
import org.limpetring.store.HostEntry;
import org.limpetring.store.ObjectStore;
import org.limpetring.store.ReadResult;
import org.limpetring.store.WriteResult;
import org.limpetring.tables.ConfigKeys;

/**
 * Performs the steps of an experiment and records when failure domains and hosts are out of
 * service.
 */
final class StepRunner {

  private static final int MAX_WRITE_ATTEMPTS = 20;

  private final StandinClient standin;
  private final ObjectStore store;
  private final List<HostEntry> hosts;
  private final SignalSender signals;
  private final List<OutOfServiceWindow> windows = new ArrayList<>();
  private final List<Mark> marks = new ArrayList<>();

  StepRunner(
      StandinClient standin, ObjectStore store, List<HostEntry> hosts, SignalSender signals) {
    this.standin = standin;
    this.store = store;
    this.hosts = List.copyOf(hosts);
    this.signals = signals;
  }

  /** Performs one step, {@code atMs} after the start of the first phase. */
  synchronized void run(Experiment.Step step, long atMs) throws IOException {
    marks.add(new Mark(atMs, step.label()));
    if (step.fault() != null) {
      standin.injectFault(step.fault());
    } else if (step.signal() != null) {
      signals.send(step.signal(), String.valueOf(step.process()));
    } else if (step.out() != null) {
      takeOutOfService(step.out());
    } else if (step.in() != null) {
      returnToService(step.in());
    }
  }

  /** Times out of service so far. */
  synchronized List<OutOfServiceWindow> windows() {
    return List.copyOf(windows);
  }

  /** Steps performed so far. */
  synchronized List<Mark> marks() {
    return List.copyOf(marks);
  }

  private void takeOutOfService(String target) throws IOException {
    writeMark(markKey(target), true);
    windows.add(
        new OutOfServiceWindow(target, hostsOf(target), Clock.wall().nowMs(), Long.MAX_VALUE));
  }

  private void returnToService(String target) throws IOException {
    long atMs = Clock.wall().nowMs();
    writeMark(markKey(target), false);
    for (int index = 0; index < windows.size(); index++) {
      OutOfServiceWindow window = windows.get(index);
      if (window.target().equals(target) && window.endMs() == Long.MAX_VALUE) {
        windows.set(index, new OutOfServiceWindow(target, window.hosts(), window.startMs(), atMs));
      }
    }
  }

  private void writeMark(String key, boolean present) throws IOException {
    for (int attempt = 0; attempt < MAX_WRITE_ATTEMPTS; attempt++) {
      ReadResult read = store.get(key);
      boolean exists = read instanceof ReadResult.Found;
      if (exists == present && !(read instanceof ReadResult.Unavailable)) {
        return;
      }
      WriteResult unused = tryWriteMark(key, read, present);
    }
    throw new IOException("cannot write the service mark " + key);
  }

  private WriteResult tryWriteMark(String key, ReadResult read, boolean present) {
    if (present) {
      return store.put(key, ConfigKeys.OUT_VALUE, 0);
    }
    long version = read instanceof ReadResult.Found found ? found.object().version() : 0;
    return store.delete(key, version);
  }

  private String markKey(String target) {
    for (HostEntry host : hosts) {
      if (host.failureDomain().value().equals(target)) {
        return ConfigKeys.mark(host.failureDomain());
      }
      if (host.host().value().equals(target)) {
        return ConfigKeys.mark(host.host());
      }
    }
    throw new IllegalArgumentException("unknown failure domain or host: " + target);
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
