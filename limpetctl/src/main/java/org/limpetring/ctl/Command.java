package org.limpetring.ctl;

import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.limpetring.base.Names;
import org.limpetring.base.ResultCode;
import org.limpetring.tables.ConfigKeys;

/** Commands of limpetctl. */
enum Command {
  VALIDATE("validate", 0) {
    @Override
    Report execute(List<String> arguments, Session session) {
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
    Report execute(List<String> arguments, Session session) {
      return new TableCommands(session.store())
          .apply(arguments.get(0), arguments.get(1), session.option("if-version"));
    }
  },
  GET("get", 1) {
    @Override
    Report execute(List<String> arguments, Session session) {
      return new TableCommands(session.store()).get(arguments.get(0));
    }
  },
  DIFF("diff", 2) {
    @Override
    Report execute(List<String> arguments, Session session) {
      return new TableCommands(session.store()).diff(arguments.get(0), arguments.get(1));
    }
  },
  OUT("out", 2) {
    @Override
    Report execute(List<String> arguments, Session session) {
      String key = markKey(arguments);
      return key == null ? invalidMark() : new MarkCommands(session.store()).takeOut(key);
    }
  },
  IN("in", 2) {
    @Override
    Report execute(List<String> arguments, Session session) {
      String key = markKey(arguments);
      return key == null ? invalidMark() : new MarkCommands(session.store()).putBack(key);
    }
  },
  STATUS("status", 0) {
    @Override
    Report execute(List<String> arguments, Session session) {
      return session.daemon().status();
    }
  },
  EXPLAIN("explain", 0) {
    @Override
    Report execute(List<String> arguments, Session session) {
      List<DaemonClient.RequestAttribute> attributes = new ArrayList<>();
      for (String name : List.of("caller", "path", "method", "model")) {
        String value = session.option(name);
        if (value != null) {
          attributes.add(new DaemonClient.RequestAttribute(name, value));
        }
      }
      return session.daemon().explain(attributes);
    }
  };

  private final String keyword;
  private final int argumentCount;

  Command(String keyword, int argumentCount) {
    this.keyword = keyword;
    this.argumentCount = argumentCount;
  }

  /** Name of the command on the command line. */
  String keyword() {
    return keyword;
  }

  /** Number of positional arguments of the command. */
  int argumentCount() {
    return argumentCount;
  }

  /** Runs the command; {@code arguments} has {@link #argumentCount} items. */
  abstract Report execute(List<String> arguments, Session session);

  /** The command with a keyword, or null. */
  static @Nullable Command find(String keyword) {
    for (Command command : values()) {
      if (command.keyword.equals(keyword)) {
        return command;
      }
    }
    return null;
  }

  private static @Nullable String markKey(List<String> arguments) {
    String name = arguments.get(1);
    if (!Names.isValid(name)) {
      return null;
    }
    return switch (arguments.get(0)) {
      case "domain" -> ConfigKeys.DOMAIN_PREFIX + name;
      case "host" -> ConfigKeys.HOST_PREFIX + name;
      default -> null;
    };
  }

  private static Report invalidMark() {
    return Report.error(ResultCode.USAGE, "expected: domain NAME, or host NAME");
  }
}
