package org.limpetring.entryd;

import java.nio.file.Path;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.limpetring.base.LogEvent;
import org.limpetring.entry.DecisionLog;
import org.limpetring.entry.EntryDaemon;
import org.limpetring.entry.SettingsReader;
import org.limpetring.entry.model.EntrySettings;
import org.limpetring.platform.HttpPlatform;
import sun.misc.Signal;

/**
 * Main class of the daemon.
 *
 * <p>{@code limpet-entryd [--settings FILE] [--check]}; without the option, the platform's
 * environment variable names the file. Exit status 1: settings rejected, 2: invalid command line.
 */
public final class EntryDaemonMain {

  private static final String SETTINGS_OPTION = "settings";
  private static final String CHECK_OPTION = "check";

  private EntryDaemonMain() {}

  /** Runs the program. */
  public static void main(String[] arguments) {
    // fixed, because Netty would look for a MAC address, which entry hosts do not expose
    System.setProperty("io.netty.machineId", "00:00:00:00:00:00:00:01");
    // copies of large buffers outside of the heap are freed after each read or write
    System.setProperty("jdk.nio.maxCachedBufferSize", "262144");
    DecisionLog log = DecisionLog.standardOutput();
    Path file = Path.of("");
    boolean isCheckOnly = false;
    if (arguments.length == 0) {
      file = Path.of(String.valueOf(System.getenv(HttpPlatform.SETTINGS_VARIABLE)));
    } else {
      try {
        CommandLine line = new DefaultParser().parse(options(), arguments);
        file =
            Path.of(
                line.getOptionValue(
                    SETTINGS_OPTION,
                    String.valueOf(System.getenv(HttpPlatform.SETTINGS_VARIABLE))));
        isCheckOnly = line.hasOption(CHECK_OPTION);
      } catch (ParseException failure) {
        System.err.println("limpet-entryd: " + failure.getMessage());
        System.exit(2);
      }
    }
    EntrySettings settings = read(file, log);
    if (settings == null) {
      log.flush();
      System.exit(1);
      return;
    }
    if (isCheckOnly) {
      return;
    }
    EntryDaemon daemon = new EntryDaemon(settings, new HttpPlatform(settings.storeAddress()), log);
    daemon.start();
    Path settingsFile = file;
    Signal.handle(new Signal("TERM"), signal -> daemon.stop());
    Signal.handle(
        new Signal("HUP"),
        signal -> {
          EntrySettings reloaded = read(settingsFile, log);
          if (reloaded != null) {
            daemon.reload(reloaded);
          }
        });
  }

  private static Options options() {
    return new Options()
        .addOption(null, SETTINGS_OPTION, true, "settings file, JSON with comments")
        .addOption(null, CHECK_OPTION, false, "check the settings and exit");
  }

  private static @org.jspecify.annotations.Nullable EntrySettings read(Path file, DecisionLog log) {
    try {
      return SettingsReader.read(file);
    } catch (SettingsReader.SettingsException failure) {
      log.write(
          LogEvent.SETTINGS_REJECTED, "file", file, "reason", String.valueOf(failure.getMessage()));
      return null;
    }
  }
}
