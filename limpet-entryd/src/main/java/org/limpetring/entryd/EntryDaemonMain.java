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
 * Starts the daemon.
 *
 * <p>{@code limpet-entryd [--settings FILE] [--check]}; without the option the platform's variable
 * names the file. Exit status 1: settings rejected, 2: wrong command line.
 */
public final class EntryDaemonMain {

  private static final String SETTINGS = "settings";
  private static final String CHECK = "check";

  private EntryDaemonMain() {}

  /** Runs the program. */
  public static void main(String[] arguments) {
    // Netty would look for a hardware address, which entry hosts do not show
    System.setProperty("io.netty.machineId", "00:00:00:00:00:00:00:01");
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
                    SETTINGS, String.valueOf(System.getenv(HttpPlatform.SETTINGS_VARIABLE))));
        isCheckOnly = line.hasOption(CHECK);
      } catch (ParseException mistake) {
        System.err.println("limpet-entryd: " + mistake.getMessage());
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
    Path watched = file;
    Signal.handle(new Signal("TERM"), signal -> daemon.stop());
    Signal.handle(
        new Signal("HUP"),
        signal -> {
          EntrySettings changed = read(watched, log);
          if (changed != null) {
            daemon.reload(changed);
          }
        });
  }

  private static Options options() {
    return new Options()
        .addOption(null, SETTINGS, true, "settings file, JSON with comments")
        .addOption(null, CHECK, false, "check the settings and end");
  }

  private static @org.jspecify.annotations.Nullable EntrySettings read(Path file, DecisionLog log) {
    try {
      return SettingsReader.read(file);
    } catch (SettingsReader.SettingsException mistake) {
      log.write(
          LogEvent.SETTINGS_REJECTED, "file", file, "reason", String.valueOf(mistake.getMessage()));
      return null;
    }
  }
}
