package org.limpetring.ctl;

import java.util.Map;
import java.util.Objects;
import org.apache.commons.cli.CommandLine;
import org.jspecify.annotations.Nullable;
import org.limpetring.store.ObjectStore;
import org.limpetring.store.http.HttpObjectStore;
import org.limpetring.store.http.HttpPlatformClient;
import org.limpetring.store.http.PlatformSettings;

/** Options of one invocation and the clients that they configure. */
final class Session {

  private static final String DEFAULT_PLATFORM = "http://127.0.0.1:7100";
  private static final String DEFAULT_DAEMON = "http://127.0.0.1:7301";

  private final CommandLine line;
  private final Map<String, String> environment = System.getenv();

  Session(CommandLine line) {
    this.line = line;
  }

  /** Value of an option, or null. */
  @Nullable String option(String name) {
    return line.getOptionValue(name);
  }

  /** The platform's object store. */
  ObjectStore store() {
    String url = address("platform", "LIMPET_PLATFORM", DEFAULT_PLATFORM);
    return new HttpObjectStore(new HttpPlatformClient(PlatformSettings.withDefaults(url)));
  }

  /** Client of a daemon's admin port. */
  DaemonClient daemon() {
    return new DaemonClient(address("daemon", "LIMPET_DAEMON", DEFAULT_DAEMON));
  }

  private String address(String option, String variable, String fallback) {
    String given = line.getOptionValue(option);
    if (given != null) {
      return given;
    }
    return Objects.requireNonNullElse(environment.get(variable), fallback);
  }
}
