package org.limpetring.entry.route;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.limpetring.entry.model.EntryConfig;
import org.limpetring.entry.model.Limits;
import org.limpetring.entry.model.RequestKind;
import org.limpetring.entry.model.Route;
import org.limpetring.entry.model.Team;

final class RouteTableTest {

  private static Route route(String name, String host, String prefix, List<Route.Target> targets) {
    return new Route(
        name, host, prefix, RequestKind.IDEMPOTENT, 1, 1, 1, 3, false, false, 0, targets);
  }

  private static RouteTable table(Route... routes) {
    return new RouteTable(
        new EntryConfig(
            1, List.of(routes), Map.of(), Map.of("k", new Team("t", 0)), true, Limits.UNKNOWN));
  }

  private static final List<Route.Target> ONE = List.of(new Route.Target("s", 1));

  private static String name(@Nullable Route route) {
    return Objects.requireNonNull(route).name();
  }

  @Test
  void matchesLongestPrefixOfHost() {
    RouteTable table =
        table(
            route("short", "h", "/a/", ONE),
            route("long", "h", "/a/b/", ONE),
            route("other", "g", "/a/b/c/", ONE));
    assertThat(name(table.match("h", "/a/b/c/d"))).isEqualTo("long");
    assertThat(name(table.match("h", "/a/bc"))).isEqualTo("short");
    assertThat(table.match("h", "/ab/")).isNull();
    assertThat(table.match("h", "/a")).isNull();
    assertThat(table.match("x", "/a/b")).isNull();
  }

  @Test
  void requiresKnownKeyForPrivateRoute() {
    Route route = route("r", "h", "/a/", ONE);
    RouteTable table = table(route);
    assertThat(table.isAllowed(route, null)).isFalse();
    assertThat(table.isAllowed(route, "other")).isFalse();
    assertThat(table.isAllowed(route, "k")).isTrue();
    assertThat(table.priority(route, table.team("k"))).isEqualTo(0);
    assertThat(table.priority(route, null)).isEqualTo(3);
  }

  @Test
  void splitsByWeight() {
    Route split =
        route("r", "h", "/a/", List.of(new Route.Target("s", 90), new Route.Target("t", 10)));
    RouteTable table = table(split);
    int first = 0;
    for (int i = 0; i < 100; i++) {
      first += table.service(split, i / 100.0).equals("s") ? 1 : 0;
    }
    assertThat(first).isEqualTo(90);
  }
}
