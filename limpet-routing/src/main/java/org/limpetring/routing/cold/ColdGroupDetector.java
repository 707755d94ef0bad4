package org.limpetring.routing.cold;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.jspecify.annotations.Nullable;
import org.limpetring.base.GroupId;
import org.limpetring.base.ResultCode;
import org.limpetring.groups.ServingGroup;

/**
 * Detects from request outcomes which groups turned cold although they report being warm.
 *
 * <p>A reset, a stall or a slow first event marks the group as cold at once, and the mark is
 * published as a notice. It is cleared by a number of successes within the cold budget, or by a new
 * incarnation. Thread-safe.
 */
public final class ColdGroupDetector {

  private record Mark(ColdNotice notice, int successes) {}

  private final ColdSettings settings;
  private final Map<GroupId, Mark> marks = new ConcurrentHashMap<>();

  /** Creates a detector without marks. */
  public ColdGroupDetector(ColdSettings settings) {
    this.settings = settings;
  }

  /**
   * Whether {@code group} is cold, by its report or by a mark, so that only the cold budget
   * applies.
   */
  public boolean isCold(ServingGroup group) {
    if (group.cold()) {
      return true;
    }
    Mark mark = marks.get(group.id());
    return mark != null
        && mark.notice().cold()
        && mark.notice().incarnation().equals(group.incarnation());
  }

  /** Whether the outcome of a try indicates that the group turned cold. */
  public boolean indicatesCold(ResultCode code, long firstEventMs) {
    return code == ResultCode.UPSTREAM_LOST
        || code == ResultCode.UPSTREAM_TIMEOUT
        || firstEventMs > settings.slowFirstEventMs();
  }

  /** Marks a group as cold; returns the notice to publish, or empty if it is already marked. */
  public Optional<ColdNotice> markCold(ServingGroup group) {
    return Optional.ofNullable(setCold(group, true));
  }

  /** Counts a success of a marked group; returns the notice to publish once it has proved warm. */
  public Optional<ColdNotice> recordSuccess(ServingGroup group) {
    Mark counted =
        marks.computeIfPresent(
            group.id(), (id, mark) -> new Mark(mark.notice(), mark.successes() + 1));
    boolean isProvenWarm =
        counted != null
            && counted.notice().cold()
            && counted.notice().incarnation().equals(group.incarnation())
            && counted.successes() >= settings.successesToWarm();
    return isProvenWarm ? Optional.ofNullable(setCold(group, false)) : Optional.empty();
  }

  private @Nullable ColdNotice setCold(ServingGroup group, boolean cold) {
    ColdNotice[] created = new ColdNotice[1];
    marks.compute(
        group.id(),
        (id, mark) -> {
          boolean isSameIncarnation =
              mark != null && mark.notice().incarnation().equals(group.incarnation());
          boolean isColdNow = isSameIncarnation && mark.notice().cold();
          if (mark != null && isColdNow == cold && (isSameIncarnation || !cold)) {
            return new Mark(mark.notice(), 0);
          }
          long version = mark == null ? 1 : mark.notice().version() + 1;
          created[0] = new ColdNotice(id, group.incarnation(), version, cold);
          return new Mark(created[0], 0);
        });
    return created[0];
  }

  /** Merges a notice from another daemon; returns whether the state changed. */
  public boolean merge(ColdNotice notice) {
    Mark before = marks.get(notice.group());
    Mark after =
        marks.merge(
            notice.group(),
            new Mark(notice, 0),
            (known, received) -> received.notice().replaces(known.notice()) ? received : known);
    return after != before;
  }

  /** Returns all notices, to synchronize daemons that missed some. */
  public List<ColdNotice> notices() {
    return marks.values().stream().map(Mark::notice).toList();
  }

  /** Removes the marks of groups that are not in {@code existing}. */
  public void retain(Set<GroupId> existing) {
    marks.keySet().retainAll(existing);
  }
}
