package org.limpetring.base;

import org.jboss.logging.Logger;
import org.jboss.logging.MDC;

/**
 * Numbered structured log event.
 *
 * <p>1xxx process, 2xxx configuration, 3xxx membership, 4xxx groups and orders, 5xxx requests, 6xxx
 * platform, 9xxx violated invariants. The catalogue in {@code docs/EVENTS.md} mirrors this enum.
 */
public enum LogEvent {
  PROCESS_STARTED(1001, Logger.Level.INFO, "%s started, listening on %s"),
  PROCESS_STOPPING(1002, Logger.Level.INFO, "stopping: %s"),
  PROCESS_STOPPED(1003, Logger.Level.INFO, "stopped after %s ms, %s requests cut"),
  SETTINGS_REJECTED(1004, Logger.Level.ERROR, "settings rejected: %s"),
  UNEXPECTED_FAILURE(1005, Logger.Level.ERROR, "unexpected failure in %s: %s"),
  KEYS_ROTATED(1006, Logger.Level.INFO, "new keys in use from %s"),
  KEYS_UNUSABLE(1007, Logger.Level.WARN, "keys from %s cannot be used: %s"),
  SETTINGS_RELOADED(1008, Logger.Level.INFO, "settings reloaded"),
  READINESS_CHANGED(1009, Logger.Level.INFO, "readiness changed"),
  LINES_DROPPED(1010, Logger.Level.WARN, "log lines dropped because the output was slow"),

  CONFIG_IN_FORCE(2001, Logger.Level.INFO, "configuration generation %s in force"),
  CONFIG_REJECTED(2002, Logger.Level.WARN, "configuration rejected: %s"),
  CONFIG_OLDER_IGNORED(2003, Logger.Level.WARN, "ignored generation %s, older than %s"),

  ROSTER_CHANGED(3001, Logger.Level.INFO, "roster epoch %s: %s"),
  DAEMON_SUSPECTED(3002, Logger.Level.WARN, "daemon %s suspected: %s"),
  DAEMON_CONFIRMED_LOST(3003, Logger.Level.WARN, "daemon %s confirmed lost"),
  DAEMON_STALE(3004, Logger.Level.WARN, "cut off for %s ms, refusing new work"),
  DAEMON_FRESH(3005, Logger.Level.INFO, "contact restored, accepting new work"),
  PEER_FRAME_REJECTED(3006, Logger.Level.WARN, "frame from %s rejected: %s"),
  ROLE_GAINED(3007, Logger.Level.INFO, "role %s gained at epoch %s"),
  ROLE_LOST(3008, Logger.Level.INFO, "role %s lost at epoch %s"),

  PLAN_WRITTEN(4001, Logger.Level.INFO, "plan of fabric domain %s written at epoch %s"),
  PLAN_CONFLICT(4002, Logger.Level.INFO, "plan of fabric domain %s changed by another planner"),
  ORDER_SENT(4003, Logger.Level.DEBUG, "order %s sent to %s"),
  ORDER_FAILED(4004, Logger.Level.WARN, "order %s to %s failed: %s"),
  GROUP_OPENED(4005, Logger.Level.INFO, "group %s serves at epoch %s"),
  GROUP_CLOSED(4006, Logger.Level.WARN, "group %s stopped serving: %s"),
  UPSTREAM_COLD(4007, Logger.Level.INFO, "upstream %s is cold: %s"),
  UPSTREAM_WARM(4008, Logger.Level.INFO, "upstream %s is warm"),
  STALE_ORDER_FOUND(4009, Logger.Level.WARN, "upstream %s executed a stale order: %s"),
  UPSTREAM_LISTED(4010, Logger.Level.INFO, "upstream was added to the host list or changed"),
  UPSTREAM_REMOVED(4011, Logger.Level.INFO, "upstream was removed from the host list"),
  DOMAIN_OUT(4012, Logger.Level.INFO, "failure domain taken out of service"),
  DOMAIN_IN(4013, Logger.Level.INFO, "failure domain back in service"),
  GROUP_FORMING(4014, Logger.Level.INFO, "ordered the members of a group to join"),
  GROUP_ENDING(4015, Logger.Level.WARN, "group is being disbanded"),
  GROUP_ENDED(4016, Logger.Level.INFO, "group was disbanded, its members are free"),
  GROUP_SUSPECTED(4017, Logger.Level.WARN, "group has stalled streams"),
  ORDER_ANSWERED(4018, Logger.Level.INFO, "engine answered an order"),
  UPSTREAM_EJECTED(4019, Logger.Level.WARN, "upstream fails too often, temporarily ejected"),

  HOSTS_COUNTED(4020, Logger.Level.INFO, "groups and spare hosts of a pool"),
  UPSTREAMS_LISTED(
      4021, Logger.Level.INFO, "many upstreams were added to the host list or changed"),
  UPSTREAM_LEAVING(4022, Logger.Level.INFO, "upstream said in an answer that it leaves"),
  UPSTREAM_PAUSED(4023, Logger.Level.INFO, "upstream wants no requests for some time"),
  PAUSE_MALFORMED(4024, Logger.Level.WARN, "upstream asked for a pause that is no time, ignored"),
  GROUP_REOPENED(4025, Logger.Level.WARN, "head serves a group that it had left"),
  UPSTREAM_LIMITED(
      4026, Logger.Level.INFO, "upstream named the rate of requests that it takes, or changed it"),
  UPSTREAM_UNLIMITED(4027, Logger.Level.INFO, "upstream no longer limits the rate of requests"),
  LIMIT_MALFORMED(4028, Logger.Level.WARN, "upstream named a limit that is no rate, ignored"),
  HOSTS_MOVING(4030, Logger.Level.INFO, "groups are dissolved, their hosts load another model"),
  UPSTREAM_PACED(
      4035, Logger.Level.INFO, "upstream has just started or recovered, gets few requests"),
  PACE_LOWERED(4036, Logger.Level.INFO, "upstream gets fewer requests after trouble"),
  UPSTREAM_UNPACED(4037, Logger.Level.INFO, "upstream is used fully again"),

  REQUEST_REFUSED(5001, Logger.Level.DEBUG, "request %s refused: %s"),
  REQUEST_FAILED(5002, Logger.Level.INFO, "request %s failed after dispatch: %s"),
  REQUEST_RETRIED(5003, Logger.Level.DEBUG, "request %s retried: %s"),
  POISON_FOUND(5004, Logger.Level.WARN, "request fingerprint %s crashed %s upstreams"),
  CONNECTION_SILENT(5005, Logger.Level.WARN, "connection to %s silent for %s ms, dropped"),
  REQUEST_SENT(5007, Logger.Level.INFO, "request sent to an upstream"),
  REQUEST_ANSWERED(5008, Logger.Level.INFO, "request answered"),
  REQUEST_LEFT(5009, Logger.Level.INFO, "caller disconnected before the response was complete"),
  REQUEST_WAITING(5010, Logger.Level.INFO, "request is waiting for a slot"),
  ANSWER_CROSSED(5011, Logger.Level.WARN, "upstream sent the response of another request"),
  REQUEST_INTERRUPTED(5012, Logger.Level.INFO, "connection to the upstream broke during a request"),
  TRAIT_QUARANTINED(
      5013, Logger.Level.WARN, "requests with a trait that crashed upstreams are refused"),
  TRAIT_RELEASED(
      5014,
      Logger.Level.INFO,
      "requests with a trait are accepted again, it did not crash upstreams"),
  TEAM_OVER_SHARE(
      5020, Logger.Level.INFO, "team asks for more than its share of a pool that is short"),
  TEAM_WITHIN_SHARE(5021, Logger.Level.INFO, "team is within its share of a pool again"),
  CALLER_MEMORY_FULL(
      5030, Logger.Level.WARN, "memory for callers is full, a caller had to give way"),
  CALLER_HEAD_TIMEOUT(
      5031, Logger.Level.INFO, "caller did not complete a request head in time, connection closed"),
  CALLER_BODY_TIMEOUT(
      5032, Logger.Level.INFO, "caller did not complete a request body in time, connection closed"),
  CALLER_IDLE(5033, Logger.Level.DEBUG, "idle connection of a caller closed"),
  CALLER_NOT_READING(
      5034, Logger.Level.INFO, "caller does not read its response, connection closed"),
  CALLER_CONNECTIONS_FULL(
      5035, Logger.Level.WARN, "too many connections of callers, the least active was closed"),
  CALLER_BODY_TOO_LARGE(5036, Logger.Level.INFO, "request body exceeds the limit, refused"),
  CALLER_HEAD_TOO_LARGE(5037, Logger.Level.INFO, "request head exceeds the limit, refused"),
  CALLER_PIPELINE_FULL(
      5038,
      Logger.Level.INFO,
      "caller pipelines too many requests, connection not read for a while"),
  CLAIM_LOST_ANSWER(
      5006, Logger.Level.INFO, "outcome of the claim write of shard %s determined by a read"),

  PLATFORM_DOWN(6001, Logger.Level.WARN, "platform unavailable: %s"),
  PLATFORM_UP(6002, Logger.Level.INFO, "platform available after %s ms"),
  WATCH_RESTARTED(6003, Logger.Level.DEBUG, "watch of %s restarted: %s"),
  PLATFORM_BUDGET_SPENT(6004, Logger.Level.WARN, "platform call budget spent, call %s delayed"),
  ENTRY_UNREADABLE(6005, Logger.Level.WARN, "cannot read an object in the platform's store"),
  STORE_RESTORED(6010, Logger.Level.WARN, "platform's store came back from an older copy"),
  STORE_REPLY_OUTDATED(6011, Logger.Level.INFO, "late reply of an older copy's era discarded"),
  MARK_HELD(6012, Logger.Level.INFO, "mark that the restored store does not show stays in force"),
  PLAN_RESTORED(6013, Logger.Level.WARN, "planner wrote its plan into the restored store"),
  GROUP_ADOPTED(6014, Logger.Level.WARN, "group that the restored plan did not list was found"),

  INVARIANT_VIOLATED(9001, Logger.Level.ERROR, "invariant %s violated: %s");

  private static final String MDC_KEY = "event";

  private final int number;
  private final Logger.Level level;
  private final String format;

  LogEvent(int number, Logger.Level level, String format) {
    this.number = number;
    this.level = level;
    this.format = format;
  }

  /** Number that stays fixed across versions. */
  public int number() {
    return number;
  }

  /** Severity at which the event is written. */
  public Logger.Level level() {
    return level;
  }

  /** Message template in {@link String#format} form. */
  public String format() {
    return format;
  }

  /** Writes the event with its number as the structured field {@code event}. */
  public void log(Logger logger, Object... arguments) {
    if (!logger.isEnabled(level)) {
      return;
    }
    MDC.put(MDC_KEY, number);
    try {
      logger.logf(level, format, arguments);
    } finally {
      MDC.remove(MDC_KEY);
    }
  }
}
