package org.limpetring.fleet.config;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.limpetring.base.FailureDomain;
import org.limpetring.base.HostId;
import org.limpetring.base.Names;
import org.limpetring.store.StoredObject;
import org.limpetring.tables.AcceptedConfig;
import org.limpetring.tables.ConfigKeys;
import org.limpetring.tables.ServiceMarks;
import org.limpetring.tables.TableValidator.JoinedTables;
import org.limpetring.tables.Validation;
import org.limpetring.tables.ValidationError;

/**
 * Joins tables and service marks into the next configuration to accept.
 *
 * <p>If one table is invalid, both are ignored; service marks still apply, so that an invalid table
 * does not delay taking a failure domain out of service.
 */
final class SourceJoiner {

  private final ConfigFormat format;

  SourceJoiner(ConfigFormat format) {
    this.format = format;
  }

  /**
   * Result of a join: the configuration to accept and, if the tables were ignored, their errors.
   */
  record Joined(AcceptedConfig config, List<ValidationError> errors) {}

  /** Joins {@code sources}; invalid tables are replaced by those of {@code last}. */
  Joined join(List<StoredObject> sources, long revision, AcceptedConfig last) {
    Validation<JoinedTables> checked =
        format.join(value(sources, ConfigKeys.ROUTES), value(sources, ConfigKeys.POOLS));
    ServiceMarks marks = marks(sources);
    if (checked instanceof Validation.Invalid<JoinedTables> invalid) {
      AcceptedConfig kept =
          new AcceptedConfig(last.generation(), revision, last.routes(), last.pools(), marks);
      return new Joined(kept, invalid.errors());
    }
    JoinedTables tables = ((Validation.Valid<JoinedTables>) checked).value();
    AcceptedConfig config =
        new AcceptedConfig(last.generation(), revision, tables.routes(), tables.pools(), marks);
    return new Joined(config, List.of());
  }

  private static String value(List<StoredObject> sources, String key) {
    for (StoredObject source : sources) {
      if (source.key().equals(key)) {
        return source.value();
      }
    }
    return "";
  }

  private static ServiceMarks marks(List<StoredObject> sources) {
    Set<FailureDomain> domains = new HashSet<>();
    Set<HostId> hosts = new HashSet<>();
    for (StoredObject source : sources) {
      String key = source.key();
      if (isMark(key, ConfigKeys.DOMAIN_PREFIX)) {
        domains.add(new FailureDomain(key.substring(ConfigKeys.DOMAIN_PREFIX.length())));
      }
      if (isMark(key, ConfigKeys.HOST_PREFIX)) {
        hosts.add(new HostId(key.substring(ConfigKeys.HOST_PREFIX.length())));
      }
    }
    return new ServiceMarks(domains, hosts);
  }

  private static boolean isMark(String key, String prefix) {
    return key.startsWith(prefix) && Names.isValid(key.substring(prefix.length()));
  }
}
