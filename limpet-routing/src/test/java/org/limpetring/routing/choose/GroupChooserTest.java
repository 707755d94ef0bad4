package org.limpetring.routing.choose;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.limpetring.base.DaemonId;
import org.limpetring.base.FailureDomain;
import org.limpetring.base.GroupId;
import org.limpetring.base.HostId;
import org.limpetring.base.PoolName;
import org.limpetring.groups.ServingGroup;

final class GroupChooserTest {

  private static final PoolName POOL = new PoolName("p");
  private static final FailureDomain LOCAL = new FailureDomain("z0");

  @Property(tries = 2_000, seed = "5")
  void choosesAnAvailableGroupOfThePoolIfThereIsOne(@ForAll long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    List<ServingGroup> groups = new ArrayList<>();
    Set<GroupId> excluded = new HashSet<>();
    Set<GroupId> available = new HashSet<>();
    InFlightCounts inFlight = new InFlightCounts();
    int limit = 1 + random.nextInt(3);
    for (int number = 0; number < random.nextInt(12); number++) {
      PoolName pool = random.nextInt(4) == 0 ? new PoolName("other") : POOL;
      ServingGroup group = group(number, pool, random.nextInt(4) == 0, random.nextInt(5));
      groups.add(group);
      for (int count = random.nextInt(4); count > 0; count--) {
        inFlight.begin(group.id());
      }
      if (random.nextInt(5) == 0) {
        excluded.add(group.id());
      }
      boolean isAvailable =
          pool.equals(POOL)
              && !group.cold()
              && !excluded.contains(group.id())
              && inFlight.get(group.id()) < limit;
      if (isAvailable) {
        available.add(group.id());
      }
    }
    GroupIndex index = GroupIndex.of(groups, LOCAL, ServingGroup::cold, new DaemonId("d"), 9);
    GroupChooser chooser = new GroupChooser(inFlight);
    long affinity = random.nextInt(2) * random.nextLong();
    var chosen = chooser.choose(index, POOL, excluded, affinity, group -> limit, random);
    assertThat(chosen.isPresent()).isEqualTo(!available.isEmpty());
    chosen.ifPresent(group -> assertThat(available).contains(group.id()));
  }

  @Test
  void affinityAppliesUntilTheGroupReachesItsLoadBound() {
    SplittableRandom random = new SplittableRandom(1);
    InFlightCounts inFlight = new InFlightCounts();
    GroupChooser chooser = new GroupChooser(inFlight);
    GroupIndex index = GroupIndex.of(groups(20));
    Map<GroupId, Integer> idle = new HashMap<>();
    Map<GroupId, Integer> busy = new HashMap<>();
    for (int request = 0; request < 100; request++) {
      var group = chooser.choose(index, POOL, Set.of(), 77, GroupChooser.NO_LIMIT, random);
      idle.merge(group.orElseThrow().id(), 1, Integer::sum);
    }
    assertThat(idle).hasSize(1);
    for (int request = 0; request < 100; request++) {
      var group = chooser.choose(index, POOL, Set.of(), 77, GroupChooser.NO_LIMIT, random);
      inFlight.begin(group.orElseThrow().id());
      busy.merge(group.orElseThrow().id(), 1, Integer::sum);
    }
    int maxLoad = busy.values().stream().mapToInt(Integer::intValue).max().orElse(0);
    assertThat(maxLoad).isAtMost(7);
  }

  @Test
  void localFailureDomainIsPreferredUntilItIsBusier() {
    SplittableRandom random = new SplittableRandom(1);
    InFlightCounts inFlight = new InFlightCounts();
    GroupChooser chooser = new GroupChooser(inFlight);
    GroupIndex index = GroupIndex.of(groups(9), LOCAL, ServingGroup::cold, new DaemonId("d"), 9);
    assertThat(chooser.choose(index, POOL, Set.of(), random).orElseThrow().failureDomain())
        .isEqualTo(LOCAL);
    for (ServingGroup group : groups(9)) {
      if (group.failureDomain().equals(LOCAL)) {
        inFlight.begin(group.id());
      }
    }
    assertThat(chooser.choose(index, POOL, Set.of(), random).orElseThrow().failureDomain())
        .isNotEqualTo(LOCAL);
  }

  @Test
  void subsetsOfALargeFleetCoverAllGroups() {
    List<ServingGroup> groups = groups(212);
    Set<ServingGroup> reached = new HashSet<>();
    for (int daemon = 0; daemon < 330; daemon++) {
      List<ServingGroup> subset =
          GroupIndex.of(groups, LOCAL, ServingGroup::cold, new DaemonId("d" + daemon), 330)
              .groupsOf(POOL);
      assertThat(subset).hasSize(GroupIndex.SUBSET_SIZE);
      reached.addAll(subset);
    }
    assertThat(reached).hasSize(212);
  }

  static List<ServingGroup> groups(int count) {
    List<ServingGroup> groups = new ArrayList<>();
    for (int number = 0; number < count; number++) {
      groups.add(group(number, POOL, false, 0));
    }
    return groups;
  }

  private static ServingGroup group(int number, PoolName pool, boolean cold, int load) {
    return new ServingGroup(
        new GroupId("g" + number),
        pool,
        1,
        List.of(new HostId("h" + number)),
        "127.0.0.1:1",
        new FailureDomain("z" + number % 3),
        "i",
        cold,
        load);
  }
}
