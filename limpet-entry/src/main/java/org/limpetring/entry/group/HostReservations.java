package org.limpetring.entry.group;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.limpetring.entry.model.EngineSpec;
import org.limpetring.entry.model.EngineStatus;
import org.limpetring.entry.model.ModelSpec;
import org.limpetring.entry.model.PlannedGroup;
import org.limpetring.entry.model.Upstream;

/**
 * Hosts that were freed for a model and do not hold it yet. Without a reservation, members of a
 * dissolved group would form a group of their former model at once, as they still hold its weights.
 */
final class HostReservations {

  /** Added to four times the load time to get the time for which a host stays reserved. */
  private static final long SLACK_MS = 15_000;

  private record Reservation(String model, @Nullable Long startedAtMs, long untilMs) {}

  private final Map<String, Reservation> reservations = new HashMap<>();

  void reset() {
    reservations.clear();
  }

  /** Reserves the members of a group that is being dissolved, as many as complete whole groups. */
  void reserve(
      PlannedGroup group, ModelSpec model, int hosts, GroupManager.Context context, long nowMs) {
    List<String> members = group.members();
    for (String id : members.subList(0, Math.min(hosts, members.size()))) {
      Upstream member = context.upstream(id);
      reservations.put(
          id,
          new Reservation(
              model.name(),
              member == null ? null : member.startedAtMs(),
              nowMs + SLACK_MS + 4 * model.loadMs()));
    }
  }

  /** Ends the reservations of hosts that hold the model, have restarted or take too long. */
  void removeEnded(EngineSpec engine, GroupManager.Context context, long nowMs) {
    reservations
        .entrySet()
        .removeIf(each -> isEnded(each.getKey(), each.getValue(), engine, context, nowMs));
  }

  private static boolean isEnded(
      String id,
      Reservation reservation,
      EngineSpec engine,
      GroupManager.Context context,
      long nowMs) {
    Upstream host = context.upstream(id);
    if (engine.model(reservation.model()) == null) {
      // a model of another pool, or one that the configuration no longer lists
      return nowMs >= reservation.untilMs();
    }
    EngineStatus status = host == null ? null : host.engine();
    return nowMs >= reservation.untilMs()
        || host == null
        || status == null
        || (reservation.startedAtMs() != null && reservation.startedAtMs() != host.startedAtMs())
        || status.staged().contains(reservation.model());
  }

  /** Model for which the host is reserved, or null. */
  @Nullable String model(String host) {
    Reservation reservation = reservations.get(host);
    return reservation == null ? null : reservation.model();
  }
}
