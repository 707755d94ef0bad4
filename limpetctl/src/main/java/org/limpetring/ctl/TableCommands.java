package org.limpetring.ctl;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.limpetring.base.ResultCode;
import org.limpetring.store.ObjectStore;
import org.limpetring.store.ReadResult;
import org.limpetring.store.StoredObject;
import org.limpetring.store.WriteResult;
import org.limpetring.tables.ConfigKeys;
import org.limpetring.tables.PoolTable;
import org.limpetring.tables.RouteTable;
import org.limpetring.tables.TableReader;
import org.limpetring.tables.TableValidator;
import org.limpetring.tables.Validation;
import org.limpetring.tables.ValidationError;

/** Validates, reads, compares and writes the route and pool tables. */
final class TableCommands {

  private final ObjectStore store;

  TableCommands(ObjectStore store) {
    this.store = store;
  }

  static Report validate(String routesFile, String poolsFile) {
    try {
      Validation<TableValidator.JoinedTables> tables =
          TableValidator.join(read(routesFile), read(poolsFile));
      return tables instanceof Validation.Invalid<TableValidator.JoinedTables> invalid
          ? invalidTable(invalid.errors())
          : Report.success("both tables are valid", null);
    } catch (IOException unreadable) {
      return Report.error(ResultCode.NOT_FOUND, String.valueOf(unreadable.getMessage()));
    }
  }

  /** Writes a table unless it is invalid by itself or together with the other table. */
  Report apply(String table, String file, @Nullable String ifVersion) {
    String key = keyOf(table);
    if (key == null) {
      return unknownTable(table);
    }
    String text;
    try {
      text = read(file);
    } catch (IOException unreadable) {
      return Report.error(ResultCode.NOT_FOUND, String.valueOf(unreadable.getMessage()));
    }
    List<ValidationError> errors = check(table, text);
    if (!errors.isEmpty()) {
      return invalidTable(errors);
    }
    ReadResult read = store.get(key);
    if (read instanceof ReadResult.Unavailable unavailable) {
      return Report.error(ResultCode.PLATFORM_UNAVAILABLE, unavailable.reason());
    }
    StoredObject current = read instanceof ReadResult.Found stored ? stored.object() : null;
    long version = current == null ? 0 : current.version();
    if (ifVersion != null && !ifVersion.equals(Long.toString(version))) {
      return conflict(table, text, current);
    }
    return reportWrite(table, text, store.put(key, text, version));
  }

  Report get(String table) {
    String key = keyOf(table);
    if (key == null) {
      return unknownTable(table);
    }
    ReadResult read = store.get(key);
    if (read instanceof ReadResult.Found found) {
      return new Report(
          ResultCode.OK,
          List.of("// version " + found.object().version(), found.object().value()),
          found.object());
    }
    return notFound(table, read);
  }

  Report diff(String table, String file) {
    String key = keyOf(table);
    if (key == null) {
      return unknownTable(table);
    }
    try {
      String text = read(file);
      ReadResult read = store.get(key);
      if (read instanceof ReadResult.Found found) {
        return new Report(ResultCode.OK, LineDiff.of(found.object().value(), text), null);
      }
      return notFound(table, read);
    } catch (IOException unreadable) {
      return Report.error(ResultCode.NOT_FOUND, String.valueOf(unreadable.getMessage()));
    }
  }

  private List<ValidationError> check(String table, String text) {
    boolean isRoutes = table.equals(TableReader.ROUTES);
    String other =
        store.get(isRoutes ? ConfigKeys.POOLS : ConfigKeys.ROUTES) instanceof ReadResult.Found found
            ? found.object().value()
            : null;
    if (other != null) {
      Validation<TableValidator.JoinedTables> tables =
          isRoutes ? TableValidator.join(text, other) : TableValidator.join(other, text);
      return tables instanceof Validation.Invalid<TableValidator.JoinedTables> invalid
          ? invalid.errors()
          : List.of();
    }
    if (isRoutes) {
      return TableReader.readRoutes(text) instanceof Validation.Invalid<RouteTable> invalid
          ? invalid.errors()
          : List.of();
    }
    return TableReader.readPools(text) instanceof Validation.Invalid<PoolTable> invalid
        ? invalid.errors()
        : List.of();
  }

  private Report reportWrite(String table, String text, WriteResult result) {
    if (result instanceof WriteResult.Written written) {
      return Report.success(
          "table " + table + " written as version " + written.version(), written.version());
    }
    if (result instanceof WriteResult.Unavailable unavailable) {
      return Report.error(ResultCode.PLATFORM_UNAVAILABLE, unavailable.reason());
    }
    ReadResult read = store.get(String.valueOf(keyOf(table)));
    if (!(read instanceof ReadResult.Found found)) {
      return Report.error(ResultCode.PLATFORM_UNKNOWN, "run get to read the current table");
    }
    if (found.object().value().equals(text)) {
      return Report.success(
          "table " + table + " written as version " + found.object().version(),
          found.object().version());
    }
    return conflict(table, text, found.object());
  }

  private static Report conflict(String table, String text, @Nullable StoredObject current) {
    List<String> lines = new ArrayList<>();
    lines.add(
        "table " + table + " has version " + (current == null ? 0 : current.version()) + " now");
    if (current != null) {
      lines.addAll(LineDiff.of(current.value(), text));
    }
    return new Report(ResultCode.TABLE_CONFLICT, lines, null);
  }

  private static Report invalidTable(List<ValidationError> errors) {
    return new Report(
        ResultCode.TABLE_INVALID, errors.stream().map(ValidationError::toString).toList(), errors);
  }

  private static Report notFound(String table, ReadResult read) {
    return read instanceof ReadResult.Unavailable unavailable
        ? Report.error(ResultCode.PLATFORM_UNAVAILABLE, unavailable.reason())
        : Report.error(ResultCode.NOT_FOUND, "table " + table + " was never written");
  }

  private static Report unknownTable(String table) {
    return Report.error(
        ResultCode.USAGE, "unknown table '" + table + "', expected routes or pools");
  }

  private static @Nullable String keyOf(String table) {
    return switch (table) {
      case TableReader.ROUTES -> ConfigKeys.ROUTES;
      case TableReader.POOLS -> ConfigKeys.POOLS;
      default -> null;
    };
  }

  private static String read(String file) throws IOException {
    return Files.readString(Path.of(file));
  }
}
