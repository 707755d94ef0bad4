package org.limpetring.entry;

import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.netty.util.NetUtil;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.limpetring.entry.model.CallerLimits;
import org.limpetring.entry.model.EntrySettings;

/** Reads and validates the settings file, which is JSON with comments. */
public final class SettingsReader {

  private static final int MS_PER_S = 1_000;
  private static final int IPV4_BYTES = 4;
  private static final JsonMapper MAPPER =
      JsonMapper.builder().enable(JsonReadFeature.ALLOW_JAVA_COMMENTS).build();

  private SettingsReader() {}

  /** The settings file is missing, unreadable or invalid. */
  public static final class SettingsException extends Exception {
    private static final long serialVersionUID = 1L;

    SettingsException(String message) {
      super(message);
    }
  }

  /**
   * Reads a file.
   *
   * @throws SettingsException if the file is invalid; the message names the field
   */
  public static EntrySettings read(Path file) throws SettingsException {
    JsonNode root;
    try {
      root = MAPPER.readTree(Files.readAllBytes(file));
    } catch (IOException failure) {
      throw new SettingsException(file + ": " + failure.getMessage());
    }
    JsonNode bounds = root.path("bounds");
    int maxDescriptors = (int) number(root, "maxDescriptors");
    return new EntrySettings(
        text(root, "daemonName"),
        text(root, "failureDomain"),
        names(root.path("failureDomains")),
        address(root, "callerAddress"),
        address(root, "readyAddress"),
        address(root, "peerAddress"),
        address(root, "metricsAddress"),
        address(root, "storeAddress"),
        root.path("isFirstStart").asBoolean(false),
        (long) number(root, "heartbeatMs"),
        maxDescriptors,
        new EntrySettings.Bounds(
            (long) number(bounds, "leaveMs"),
            (long) (number(bounds, "graceS") * MS_PER_S),
            (long) number(bounds, "stallMs"),
            number(bounds, "repeatRatio"),
            number(bounds, "repeatExtra"),
            (long) (number(bounds, "repeatWindowS") * MS_PER_S)),
        callerLimits(root.path("callerLimits"), maxDescriptors));
  }

  private static CallerLimits callerLimits(JsonNode node, int maxDescriptors)
      throws SettingsException {
    CallerLimits defaults = CallerLimits.of(maxDescriptors, Runtime.getRuntime().maxMemory());
    return new CallerLimits(
        (long) numberOr(node, "memoryBytes", defaults.memoryBytes()),
        (int) numberOr(node, "maxConnections", defaults.maxConnections()),
        (int) numberOr(node, "maxStatusConnections", defaults.maxStatusConnections()),
        (int) numberOr(node, "maxPipelinedBytes", defaults.maxPipelinedBytes()),
        (long) numberOr(node, "bodyTimeoutMs", defaults.bodyTimeoutMs()),
        (long) numberOr(node, "unreadTimeoutMs", defaults.unreadTimeoutMs()));
  }

  private static double numberOr(JsonNode node, String field, double defaultValue)
      throws SettingsException {
    return node.has(field) ? number(node, field) : defaultValue;
  }

  private static String text(JsonNode node, String field) throws SettingsException {
    JsonNode value = node.path(field);
    if (!value.isTextual() || value.textValue().isEmpty()) {
      throw new SettingsException(field + ": must be a non-empty string");
    }
    return value.textValue();
  }

  private static double number(JsonNode node, String field) throws SettingsException {
    JsonNode value = node.path(field);
    if (!value.isNumber() || value.doubleValue() < 0) {
      throw new SettingsException(field + ": must be a number of at least 0");
    }
    return value.doubleValue();
  }

  private static List<String> names(JsonNode node) {
    List<String> names = new ArrayList<>();
    if (node.isObject()) {
      node.fieldNames().forEachRemaining(names::add);
    } else {
      node.forEach(item -> names.add(item.asText()));
    }
    return names;
  }

  private static InetSocketAddress address(JsonNode node, String field) throws SettingsException {
    try {
      return parseAddress(text(node, field));
    } catch (IllegalArgumentException failure) {
      throw new SettingsException(field + ": " + failure.getMessage());
    }
  }

  /**
   * Parses {@code IP:PORT}; never resolves host names.
   *
   * @throws IllegalArgumentException if the text is not an IPv4 address with a port
   */
  public static InetSocketAddress parseAddress(String text) {
    int colon = text.lastIndexOf(':');
    byte[] ip =
        colon <= 0 ? null : NetUtil.createByteArrayFromIpAddressString(text.substring(0, colon));
    if (ip == null || ip.length != IPV4_BYTES) {
      throw new IllegalArgumentException("expected IP:PORT, got '" + text + "'");
    }
    try {
      int port = Integer.parseInt(text.substring(colon + 1));
      return new InetSocketAddress(InetAddress.getByAddress(ip), port);
    } catch (UnknownHostException | IllegalArgumentException failure) {
      throw new IllegalArgumentException("expected IP:PORT, got '" + text + "'", failure);
    }
  }
}
