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
 * Decides from the evidence of requests which groups turned cold although their reports say warm.
 *
 * <p>A reset, a stall or a slow first event marks the group at once; the mark spreads as a notice.
 * It is lifted by a run of good answers within the cold budget, or by a new incarnation. Safe for
 * use by many threads.
 */
public final class ColdGroupDetector {

  private record Mark(ColdNotice notice, int successes) {}

  private final ColdSettings settings;
  private final Map<GroupId, Mark> marks = new ConcurrentHashMap<>();

  /** Without a mark. */
  public ColdGroupDetector(ColdSettings settings) {
    this.settings = settings;
  }

  /** Whether only the cold budget applies to {@code group}, by its report or by a mark. */
  public boolean isCold(ServingGroup group) {
    if (group.cold()) {
      return true;
    }
    Mark mark = marks.get(group.id());
    return mark != null
        && mark.notice().cold()
        && mark.notice().incarnation().equals(group.incarnation());
  }

  /** Whether the end of a try is evidence that the group turned cold. */
  public boolean indicatesCold(ResultCode code, long firstEventMs) {
    return code == ResultCode.UPSTREAM_LOST
        || code == ResultCode.UPSTREAM_TIMEOUT
        || firstEventMs > settings.slowFirstEventMs();
  }

  /** Marks a group; returns the notice to spread, or empty where it is marked already. */
  public Optional<ColdNotice> markCold(ServingGroup group) {
    return Optional.ofNullable(change(group, true));
  }

  /** Counts a good answer of a marked group; returns the notice to spread when it proved warm. */
  public Optional<ColdNotice> recordSuccess(ServingGroup group) {
    Mark counted =
        marks.computeIfPresent(
            group.id(), (id, mark) -> new Mark(mark.notice(), mark.successes() + 1));
    boolean isProved =
        counted != null
            && counted.notice().cold()
            && counted.notice().incarnation().equals(group.incarnation())
            && counted.successes() >= settings.successesToWarm();
    return isProved ? Optional.ofNullable(change(group, false)) : Optional.empty();
  }

  private @Nullable ColdNotice change(ServingGroup group, boolean cold) {
    ColdNotice[] made = new ColdNotice[1];
    marks.compute(
        group.id(),
        (id, mark) -> {
          boolean isSameLife =
              mark != null && mark.notice().incarnation().equals(group.incarnation());
          boolean isColdNow = isSameLife && mark.notice().cold();
          if (mark != null && isColdNow == cold && (isSameLife || !cold)) {
            return new Mark(mark.notice(), 0);
          }
          long version = mark == null ? 1 : mark.notice().version() + 1;
          made[0] = new ColdNotice(id, group.incarnation(), version, cold);
          return new Mark(made[0], 0);
        });
    return made[0];
  }

  /** Takes a notice of another daemon; returns whether it changed something. */
  public boolean merge(ColdNotice notice) {
    Mark before = marks.get(notice.group());
    Mark after =
        marks.merge(
            notice.group(),
            new Mark(notice, 0),
            (mine, theirs) -> theirs.notice().replaces(mine.notice()) ? theirs : mine);
    return after != before;
  }

  /** All notices, for daemons that missed some. */
  public List<ColdNotice> notices() {
    return marks.values().stream().map(Mark::notice).toList();
  }

  /** Forgets the groups that are not among {@code existing}. */
  public void retain(Set<GroupId> existing) {
    marks.keySet().retainAll(existing);
  }
}
