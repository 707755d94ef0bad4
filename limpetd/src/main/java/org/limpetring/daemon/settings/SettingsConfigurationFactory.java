package org.limpetring.daemon.settings;

import io.dropwizard.configuration.ConfigurationException;
import io.dropwizard.configuration.ConfigurationFactory;
import io.dropwizard.configuration.ConfigurationSourceProvider;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.limpetring.tables.Validation;
import org.limpetring.tables.ValidationError;

/** Builds Dropwizard's configuration from a settings file; fails with all errors in the file. */
public final class SettingsConfigurationFactory
    implements ConfigurationFactory<DaemonConfiguration> {

  @Override
  public DaemonConfiguration build(ConfigurationSourceProvider provider, String path)
      throws IOException, ConfigurationException {
    Validation<DaemonSettings> settings;
    try (InputStream input = provider.open(path)) {
      settings = SettingsReader.read(new String(input.readAllBytes(), StandardCharsets.UTF_8));
    }
    if (settings instanceof Validation.Invalid<DaemonSettings> invalid) {
      throw new InvalidSettingsException(path, invalid.errors());
    }
    return new DaemonConfiguration(((Validation.Valid<DaemonSettings>) settings).value());
  }

  @Override
  public DaemonConfiguration build() throws ConfigurationException {
    throw new InvalidSettingsException(
        "", List.of(new ValidationError("settings", 0, "", "no settings file was named")));
  }

  /** Reports all errors in a settings file. */
  static final class InvalidSettingsException extends ConfigurationException {

    private static final long serialVersionUID = 1L;

    InvalidSettingsException(String path, List<ValidationError> errors) {
      super(path, errors.stream().map(ValidationError::toString).toList());
    }
  }
}
