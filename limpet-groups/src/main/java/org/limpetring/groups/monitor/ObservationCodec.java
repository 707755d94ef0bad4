package org.limpetring.groups.monitor;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.limpetring.base.DaemonId;
import org.limpetring.base.FailureDomain;
import org.limpetring.base.GroupId;
import org.limpetring.base.HostId;
import org.limpetring.base.PoolName;
import org.limpetring.groups.ServingGroup;
import org.limpetring.groups.monitor.ObservedGroup.Verdict;

/** Converts observations to and from the bytes gossiped between daemons. */
public final class ObservationCodec {

  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final String TOPIC_PREFIX = "groups/";

  private ObservationCodec() {}

  /** Gossip topic of an observer's state. */
  public static String topic(DaemonId observer) {
    return TOPIC_PREFIX + observer;
  }

  /** Prefix of the topics of all observers. */
  public static String topicPrefix() {
    return TOPIC_PREFIX;
  }

  /** Writes an observation. */
  public static byte[] encode(Observation observation) {
    ObjectNode root = MAPPER.createObjectNode();
    root.put("o", observation.observer().value());
    root.put("v", observation.version());
    root.put("n", observation.sentMs());
    ArrayNode groups = root.putArray("g");
    for (ObservedGroup group : observation.groups()) {
      encodeGroup(groups.addObject(), group);
    }
    return root.toString().getBytes(StandardCharsets.UTF_8);
  }

  /**
   * Reads an observation.
   *
   * @throws IllegalArgumentException if {@code bytes} are not an observation
   */
  public static Observation decode(byte[] bytes) {
    JsonNode root = parse(bytes);
    List<ObservedGroup> groups = new ArrayList<>();
    for (JsonNode group : root.path("g")) {
      groups.add(decodeGroup(group));
    }
    return new Observation(
        new DaemonId(root.path("o").asText()),
        root.path("v").asLong(),
        root.path("n").asLong(),
        groups);
  }

  private static JsonNode parse(byte[] bytes) {
    try {
      return MAPPER.readTree(bytes);
    } catch (IOException malformed) {
      throw new IllegalArgumentException("malformed observation: " + malformed.getMessage());
    }
  }

  private static void encodeGroup(ObjectNode node, ObservedGroup observed) {
    ServingGroup group = observed.group();
    node.put("id", group.id().value());
    node.put("p", group.pool().value());
    node.put("e", group.epoch());
    ArrayNode members = node.putArray("m");
    group.members().forEach(member -> members.add(member.value()));
    node.put("a", group.entryAddress());
    node.put("d", group.failureDomain().value());
    node.put("i", group.incarnation());
    node.put("c", group.cold());
    node.put("l", group.reportedLoad());
    node.put("s", observed.verdict().name());
    node.put("t", observed.ageMs());
    node.put("r", observed.reason());
  }

  private static ObservedGroup decodeGroup(JsonNode node) {
    List<HostId> members = new ArrayList<>();
    node.path("m").forEach(member -> members.add(new HostId(member.asText())));
    ServingGroup group =
        new ServingGroup(
            new GroupId(node.path("id").asText()),
            new PoolName(node.path("p").asText()),
            node.path("e").asLong(),
            members,
            node.path("a").asText(),
            new FailureDomain(node.path("d").asText()),
            node.path("i").asText(),
            node.path("c").asBoolean(),
            node.path("l").asInt());
    return new ObservedGroup(
        group,
        Verdict.valueOf(node.path("s").asText()),
        node.path("t").asLong(),
        node.path("r").asText());
  }
}
