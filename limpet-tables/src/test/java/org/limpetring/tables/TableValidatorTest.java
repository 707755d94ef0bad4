package org.limpetring.tables;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.limpetring.base.FailureDomain;

final class TableValidatorTest {

  private static final String KEY = "a".repeat(64);
  private static final String ROUTES =
      """
      { // callers first
        "callers": [{"name": "planning", "keySha256": "%s", "weight": 3}],
        "routes": [
          {"name": "plans", "callers": ["planning"], "pathPrefix": "/v1/chat",
           "methods": ["POST"], "model": "dress", "pool": "models", "idempotent": true},
          {"name": "orders", "pathPrefix": "/orders", "pool": "stock"}
        ]
      }
      """
          .formatted(KEY);
  private static final String POOLS =
      """
      {
        "pools": [
          {"name": "models", "supplier": "north", "model": "dress",
           "hosts": ["a1", "a2"], "port": 9000, "groupSize": 2},
          {"name": "stock", "supplier": "north", "adapter": "plain-service",
           "hosts": ["s1"], "port": 9000}
        ]
      }
      """;

  @Test
  void validTablesAreJoinedAndRoundTripThroughCodec() {
    Validation<TableValidator.JoinedTables> joined = TableValidator.join(ROUTES, POOLS);
    assertThat(joined).isInstanceOf(Validation.Valid.class);
    TableValidator.JoinedTables tables =
        ((Validation.Valid<TableValidator.JoinedTables>) joined).value();
    ServiceMarks marks = new ServiceMarks(Set.of(new FailureDomain("north")), Set.of());
    AcceptedConfig config = new AcceptedConfig(7, 42, tables.routes(), tables.pools(), marks);
    assertThat(ConfigCodec.read(ConfigCodec.write(config)))
        .isEqualTo(new Validation.Valid<>(config));
  }

  static Stream<Arguments> invalidTables() {
    return Stream.of(
        Arguments.of(ROUTES.replace("\"plans\"", "\"orders\""), POOLS, "/routes/1/name", 6),
        Arguments.of(ROUTES.replace("\"stock\"", "\"stick\""), POOLS, "/routes/1/pool", 6),
        Arguments.of(ROUTES.replace("[\"planning\"]", "[\"x\"]"), POOLS, "/routes/0/callers", 4),
        Arguments.of(ROUTES.replace("\"idempotent\"", "\"idem\""), POOLS, "/routes/0/idem", 5),
        Arguments.of(ROUTES.replace("\"POST\"", "\"SEND\""), POOLS, "/routes/0/methods", 5),
        Arguments.of(ROUTES.replace(KEY, "short"), POOLS, "/callers/0/keySha256", 2),
        Arguments.of(ROUTES.replace(": 3}", ": 0}"), POOLS, "/callers/0/weight", 2),
        Arguments.of(ROUTES.replace("\"routes\"", "\"routes"), POOLS, "", 3),
        Arguments.of(ROUTES, POOLS.replace("[\"s1\"]", "[\"a1\"]"), "/pools/1/hosts", 6),
        Arguments.of(ROUTES, POOLS.replace("e\": 2", "e\": 3"), "/pools/0/hosts", 4),
        Arguments.of(ROUTES, POOLS.replace("9000, \"g", "0, \"g"), "/pools/0/port", 4),
        Arguments.of(ROUTES, POOLS.replace("plain-service", "plain"), "/pools/1/adapter", 5),
        Arguments.of(ROUTES, POOLS.replace("\"a2\"", "\"a1\""), "/pools/0/hosts", 4));
  }

  @ParameterizedTest
  @MethodSource("invalidTables")
  void errorIsReportedWithFieldAndLine(String routes, String pools, String field, int line) {
    Validation<TableValidator.JoinedTables> joined = TableValidator.join(routes, pools);
    assertThat(joined).isInstanceOf(Validation.Invalid.class);
    List<ValidationError> errors =
        ((Validation.Invalid<TableValidator.JoinedTables>) joined).errors();
    assertThat(errors.stream().map(error -> error.field() + ":" + error.line()))
        .contains(field + ":" + line);
  }

  @Property(seed = "11")
  void arbitraryTextNeverThrows(@ForAll String text) {
    assertThat(TableValidator.join(text, POOLS)).isNotNull();
    assertThat(TableValidator.join(ROUTES, text)).isInstanceOf(Validation.Invalid.class);
  }
}
