package org.limpetring.ctl;

import org.limpetring.base.ResultCode;

/** Exit codes of limpetctl; documented in its help. */
enum ExitCode {
  DONE(0),
  MISTAKES(1),
  USAGE(2),
  CONFLICT(3),
  UNAVAILABLE(4),
  UNKNOWN(5),
  NOT_FOUND(6);

  private final int number;

  ExitCode(int number) {
    this.number = number;
  }

  int number() {
    return number;
  }

  /** Exit code for a result code. */
  static ExitCode of(ResultCode code) {
    return switch (code) {
      case OK -> DONE;
      case TABLE_INVALID, SETTINGS_INVALID -> MISTAKES;
      case USAGE -> USAGE;
      case TABLE_CONFLICT -> CONFLICT;
      case PLATFORM_UNKNOWN -> UNKNOWN;
      case NOT_FOUND -> NOT_FOUND;
      default -> UNAVAILABLE;
    };
  }
}
