package org.limpetring.groups;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import org.limpetring.base.FabricDomain;
import org.limpetring.base.GroupId;
import org.limpetring.base.HostId;
import org.limpetring.base.PoolName;

/** Converts plans to and from the JSON stored in the platform. */
public final class PlanCodec {

  /** Prefix of the keys of plans. */
  public static final String KEY_PREFIX = "plan/";

  private static final ObjectMapper MAPPER = new ObjectMapper();

  private PlanCodec() {}

  /** Key of the plan of one fabric domain. */
  public static String key(FabricDomain domain) {
    return KEY_PREFIX + domain;
  }

  /** Writes a plan as JSON. */
  public static String encode(Plan plan) {
    ObjectNode root = MAPPER.createObjectNode();
    root.put("domain", plan.domain().value());
    root.put("epoch", plan.epoch());
    root.put("writer", plan.writer());
    ArrayNode groups = root.putArray("groups");
    for (PlannedGroup group : plan.groups()) {
      encodeGroup(groups.addObject(), group);
    }
    return root.toString();
  }

  /**
   * Reads a plan.
   *
   * @throws IllegalArgumentException if {@code json} is not a plan
   */
  public static Plan decode(String json) {
    JsonNode root = parse(json);
    List<PlannedGroup> groups = new ArrayList<>();
    for (JsonNode group : root.path("groups")) {
      groups.add(decodeGroup(group));
    }
    return new Plan(
        new FabricDomain(root.path("domain").asText()),
        root.path("epoch").asLong(),
        root.path("writer").asText(),
        groups);
  }

  private static JsonNode parse(String json) {
    try {
      return MAPPER.readTree(json);
    } catch (JsonProcessingException malformed) {
      throw new IllegalArgumentException("malformed plan: " + malformed.getOriginalMessage());
    }
  }

  private static void encodeGroup(ObjectNode node, PlannedGroup group) {
    node.put("id", group.id().value());
    node.put("pool", group.pool().value());
    node.put("model", group.model());
    node.put("epoch", group.epoch());
    node.put("state", group.state().name());
    ArrayNode members = node.putArray("members");
    group.members().forEach(member -> members.add(member.value()));
  }

  private static PlannedGroup decodeGroup(JsonNode node) {
    List<HostId> members = new ArrayList<>();
    node.path("members").forEach(member -> members.add(new HostId(member.asText())));
    return new PlannedGroup(
        new GroupId(node.path("id").asText()),
        new PoolName(node.path("pool").asText()),
        node.path("model").asText(),
        node.path("epoch").asLong(),
        PlannedGroup.State.valueOf(node.path("state").asText()),
        members);
  }
}
