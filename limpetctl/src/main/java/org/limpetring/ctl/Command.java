package org.limpetring.ctl;

import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.limpetring.base.Names;
import org.limpetring.base.ResultCode;
import org.limpetring.tables.ConfigKeys;

/** Commands of the command line. */
enum Command {
  VALIDATE("validate", 0) {
    @Override
    Report execute(List<String> words, Session session) {
      String routes = session.option("routes");
      String pools = session.option("pools");
      if (routes == null || pools == null) {
        return Report.error(ResultCode.USAGE, "validate needs --routes and --pools");
      }
      return TableCommands.validate(routes, pools);
    }
  },
  APPLY("apply", 2) {
    @Override
    Report execute(List<String> words, Session session) {
      return new TableCommands(session.store())
          .apply(words.get(0), words.get(1), session.option("if-version"));
    }
  },
  GET("get", 1) {
    @Override
    Report execute(List<String> words, Session session) {
      return new TableCommands(session.store()).get(words.get(0));
    }
  },
  DIFF("diff", 2) {
    @Override
    Report execute(List<String> words, Session session) {
      return new TableCommands(session.store()).diff(words.get(0), words.get(1));
    }
  },
  OUT("out", 2) {
    @Override
    Report execute(List<String> words, Session session) {
      String key = markKey(words);
      return key == null ? wrongMark() : new MarkCommands(session.store()).takeOut(key);
    }
  },
  IN("in", 2) {
    @Override
    Report execute(List<String> words, Session session) {
      String key = markKey(words);
      return key == null ? wrongMark() : new MarkCommands(session.store()).putBack(key);
    }
  },
  STATUS("status", 0) {
    @Override
    Report execute(List<String> words, Session session) {
      return session.daemon().status();
    }
  },
  EXPLAIN("explain", 0) {
    @Override
    Report execute(List<String> words, Session session) {
      List<DaemonClient.Feature> features = new ArrayList<>();
      for (String name : List.of("caller", "path", "method", "model")) {
        String value = session.option(name);
        if (value != null) {
          features.add(new DaemonClient.Feature(name, value));
        }
      }
      return session.daemon().explain(features);
    }
  };

  private final String spelling;
  private final int wordCount;

  Command(String spelling, int wordCount) {
    this.spelling = spelling;
    this.wordCount = wordCount;
  }

  /** Word that names the command. */
  String spelling() {
    return spelling;
  }

  /** Words that follow the command. */
  int wordCount() {
    return wordCount;
  }

  /** Runs the command; {@code words} has {@link #wordCount} items. */
  abstract Report execute(List<String> words, Session session);

  /** The command with a spelling, or null. */
  static @Nullable Command find(String spelling) {
    for (Command command : values()) {
      if (command.spelling.equals(spelling)) {
        return command;
      }
    }
    return null;
  }

  private static @Nullable String markKey(List<String> words) {
    String name = words.get(1);
    if (!Names.isValid(name)) {
      return null;
    }
    return switch (words.get(0)) {
      case "domain" -> ConfigKeys.DOMAIN_PREFIX + name;
      case "host" -> ConfigKeys.HOST_PREFIX + name;
      default -> null;
    };
  }

  private static Report wrongMark() {
    return Report.error(ResultCode.USAGE, "expected: domain NAME, or host NAME");
  }
}
