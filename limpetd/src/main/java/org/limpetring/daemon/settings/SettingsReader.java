package org.limpetring.daemon.settings;

import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.limpetring.base.FailureDomain;
import org.limpetring.daemon.settings.DaemonSettings.TlsFiles;
import org.limpetring.tables.JsonObjectReader;
import org.limpetring.tables.LocatedJson;
import org.limpetring.tables.Validation;
import org.limpetring.tables.ValidationError;

/** Reads and validates settings; reports all errors together. */
public final class SettingsReader {

  private static final int MAX_PORT = 65_535;
  private static final int MAX_BODY_BYTES = 64 * 1_048_576;
  private static final int DEFAULT_BODY_BYTES = 4 * 1_048_576;
  private static final int MAX_THREADS = 4_096;
  private static final int DEFAULT_THREADS = 512;
  private static final long MAX_WAIT_MS = 3_600_000;
  private static final long DEFAULT_GRACE_MS = 60_000;
  private static final long DEFAULT_BALANCER_DELAY_MS = 2_000;

  private SettingsReader() {}

  /** Reads the text of a settings file. */
  public static Validation<DaemonSettings> read(String text) {
    Validation<LocatedJson> json = LocatedJson.parse("settings", text);
    if (json instanceof Validation.Invalid<LocatedJson> invalid) {
      return new Validation.Invalid<>(invalid.errors());
    }
    List<ValidationError> errors = new ArrayList<>();
    JsonObjectReader row =
        JsonObjectReader.root(((Validation.Valid<LocatedJson>) json).value(), errors);
    DaemonSettings settings = readRow(row);
    row.rejectUnknownFields();
    return errors.isEmpty() ? new Validation.Valid<>(settings) : new Validation.Invalid<>(errors);
  }

  private static DaemonSettings readRow(JsonObjectReader row) {
    return new DaemonSettings(
        row.name("name", name -> name, "invalid"),
        row.text("address"),
        port(row, "callerPort"),
        port(row, "adminPort"),
        port(row, "peerPort"),
        row.name("failureDomain", FailureDomain::new, new FailureDomain("invalid")),
        platformUrl(row),
        (int) row.number("maxBodyBytes", 1, MAX_BODY_BYTES, DEFAULT_BODY_BYTES),
        (int) row.number("maxThreads", 16, MAX_THREADS, DEFAULT_THREADS),
        row.number("graceMs", 0, MAX_WAIT_MS, DEFAULT_GRACE_MS),
        row.number("balancerDelayMs", 0, MAX_WAIT_MS, DEFAULT_BALANCER_DELAY_MS),
        readTls(row));
  }

  private static int port(JsonObjectReader row, String field) {
    int port = (int) row.number(field, 1, MAX_PORT, 0);
    if (port == 0 && !row.has(field)) {
      row.addError(field, "is missing");
    }
    return port;
  }

  private static String platformUrl(JsonObjectReader row) {
    String url = row.text("platformUrl");
    if (!url.startsWith("http://") && !url.startsWith("https://")) {
      row.addError("platformUrl", "must start with http:// or https://");
    }
    return url;
  }

  private static @Nullable TlsFiles readTls(JsonObjectReader row) {
    if (!row.has("tls")) {
      return null;
    }
    JsonObjectReader tls = row.object("tls");
    TlsFiles files =
        new TlsFiles(
            tls.text("certificateChain"), tls.text("privateKey"), tls.text("trustedIssuers"));
    tls.rejectUnknownFields();
    return files;
  }
}
