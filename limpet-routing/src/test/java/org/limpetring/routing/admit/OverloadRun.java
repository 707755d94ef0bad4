package org.limpetring.routing.admit;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import org.limpetring.base.CallerId;
import org.limpetring.base.FailureDomain;
import org.limpetring.base.GroupId;
import org.limpetring.base.HostId;
import org.limpetring.base.PoolName;
import org.limpetring.groups.ServingGroup;
import org.limpetring.routing.choose.GroupIndex;
import org.limpetring.routing.choose.GroupSlotAllocator;
import org.limpetring.routing.choose.InFlightCounts;

/**
 * Open-loop queueing simulation: 20 groups with 4 slots each, service times of 100 ms plus an
 * exponential part with a mean of 100 ms, deadlines of 2 s, 10 teams.
 *
 * <p>Groups queue requests beyond their slots and drop queued requests whose deadline has passed.
 * Arguments: {@code <seed>}.
 */
public final class OverloadRun {

  /** Policy that distributes requests over the groups. */
  enum Policy {
    ADMISSION,
    ROUND_ROBIN,
    LEAST_REQUESTS
  }

  /**
   * Result of one run.
   *
   * @param goodputShare responses within their deadline, as a share of the capacity
   * @param smallTeamShare responses within their deadline, as a share of the small teams' requests
   */
  record Result(double goodputShare, double smallTeamShare) {}

  static final int TEAMS = 10;
  private static final int GROUPS = 20;
  private static final int SLOTS_PER_GROUP = 4;
  private static final long FIXED_MS = 100;
  private static final double VARIABLE_MS = 100;
  private static final long DEADLINE_MS = 2_000;
  private static final long WARM_UP_MS = 5_000;
  private static final long END_MS = 65_000;
  private static final double CAPACITY_PER_MS = GROUPS * SLOTS_PER_GROUP / (FIXED_MS + VARIABLE_MS);
  private static final PoolName POOL = new PoolName("p");

  private record Request(int team, long arrivedMs, long deadlineMs) {}

  private record Completion(long atMs, long serviceMs, int group, Request request) {}

  private final SplittableRandom random;
  private final Policy policy;
  private final InFlightCounts inFlight = new InFlightCounts();
  private final List<ServingGroup> groups = new ArrayList<>();
  private final AdmissionScheduler scheduler;
  private final int[] running = new int[GROUPS];
  private final List<Deque<Request>> queues = new ArrayList<>();
  private final PriorityQueue<Completion> completions =
      new PriorityQueue<>((a, b) -> Long.compare(a.atMs(), b.atMs()));
  private final long[] arrived = new long[TEAMS];
  private final long[] answeredInTime = new long[TEAMS];
  private long nextTicket;
  private int nextGroup;

  private OverloadRun(Policy policy, long seed) {
    this.policy = policy;
    this.random = new SplittableRandom(seed);
    for (int number = 0; number < GROUPS; number++) {
      groups.add(group(number));
      queues.add(new ArrayDeque<>());
    }
    GroupIndex index = GroupIndex.of(groups);
    GroupSlotAllocator slots =
        new GroupSlotAllocator(POOL, () -> index, inFlight, group -> SLOTS_PER_GROUP, random);
    this.scheduler = new AdmissionScheduler(AdmissionSettings.DEFAULT, slots);
  }

  /** Prints the results of all loads and policies. */
  public static void main(String[] arguments) {
    long seed = arguments.length > 0 ? Long.parseLong(arguments[0]) : 1;
    for (Policy policy : Policy.values()) {
      for (int load : new int[] {1, 2, 4}) {
        Result result = run(policy, seed, even(load));
        System.out.printf(
            "seed %d %-14s %dx even: goodput %.1f%% of capacity%n",
            seed, policy, load, 100 * result.goodputShare());
      }
      Result result = run(policy, seed, oneLarge());
      System.out.printf(
          "seed %d %-14s one team at 10x its share: goodput %.1f%% of capacity,"
              + " small teams %.1f%% of their requests%n",
          seed, policy, 100 * result.goodputShare(), 100 * result.smallTeamShare());
    }
  }

  /** Returns equal loads of all teams that add up to {@code load} times the capacity. */
  static double[] even(int load) {
    double[] shares = new double[TEAMS];
    Arrays.fill(shares, (double) load / TEAMS);
    return shares;
  }

  /**
   * Returns loads in which the first team sends ten times its share and the others nine tenths of
   * theirs.
   */
  static double[] oneLarge() {
    double[] shares = new double[TEAMS];
    Arrays.fill(shares, 0.9 / TEAMS);
    shares[0] = 10.0 / TEAMS;
    return shares;
  }

  /**
   * Runs one minute after a warm-up; {@code shares} are the teams' loads relative to the capacity.
   */
  static Result run(Policy policy, long seed, double[] shares) {
    OverloadRun run = new OverloadRun(policy, seed);
    for (long nowMs = 0; nowMs < END_MS; nowMs++) {
      run.finish(nowMs);
      for (int team = 0; team < TEAMS; team++) {
        int arrivals = run.poisson(shares[team] * CAPACITY_PER_MS);
        for (int arrival = 0; arrival < arrivals; arrival++) {
          run.arrive(team, nowMs);
        }
      }
      if (policy == Policy.ADMISSION) {
        run.dispatchAdmitted(run.scheduler.admitQueued(nowMs), nowMs);
      }
    }
    return run.result();
  }

  private Result result() {
    long allGood = 0;
    long smallGood = 0;
    long smallArrived = 0;
    for (int team = 0; team < TEAMS; team++) {
      allGood += answeredInTime[team];
      smallGood += team == 0 ? 0 : answeredInTime[team];
      smallArrived += team == 0 ? 0 : arrived[team];
    }
    double capacity = CAPACITY_PER_MS * (END_MS - DEADLINE_MS - WARM_UP_MS);
    return new Result(allGood / capacity, (double) smallGood / smallArrived);
  }

  private void arrive(int team, long nowMs) {
    Request request = new Request(team, nowMs, nowMs + DEADLINE_MS);
    boolean isCounted = nowMs >= WARM_UP_MS && nowMs < END_MS - DEADLINE_MS;
    arrived[team] += isCounted ? 1 : 0;
    if (policy == Policy.ADMISSION) {
      Ticket ticket =
          new Ticket(nextTicket++, new CallerId("t" + team), 1, request.deadlineMs(), Set.of(), 0);
      dispatchAdmitted(scheduler.arrive(ticket, nowMs), nowMs);
      return;
    }
    send(policy == Policy.ROUND_ROBIN ? nextGroup++ % GROUPS : leastLoaded(), request, nowMs);
  }

  private int leastLoaded() {
    int leastLoaded = 0;
    for (int group = 1; group < GROUPS; group++) {
      leastLoaded = load(group) < load(leastLoaded) ? group : leastLoaded;
    }
    return leastLoaded;
  }

  private int load(int group) {
    return running[group] + queues.get(group).size();
  }

  private void dispatchAdmitted(List<AdmissionEffect> effects, long nowMs) {
    for (AdmissionEffect effect : effects) {
      if (effect instanceof AdmissionEffect.Admit admit) {
        Ticket ticket = admit.ticket();
        int team = Integer.parseInt(ticket.caller().value().substring(1));
        long arrivedMs = ticket.deadlineMs() - DEADLINE_MS;
        send(
            groups.indexOf(admit.group()),
            new Request(team, arrivedMs, ticket.deadlineMs()),
            nowMs);
      }
    }
  }

  private void send(int group, Request request, long nowMs) {
    if (running[group] < SLOTS_PER_GROUP) {
      begin(group, request, nowMs);
    } else {
      queues.get(group).addLast(request);
    }
  }

  private void begin(int group, Request request, long nowMs) {
    running[group]++;
    long serviceMs = FIXED_MS + Math.round(-VARIABLE_MS * Math.log(1 - random.nextDouble()));
    completions.add(new Completion(nowMs + serviceMs, serviceMs, group, request));
  }

  private void finish(long nowMs) {
    while (!completions.isEmpty() && completions.peek().atMs() <= nowMs) {
      Completion completion = completions.remove();
      running[completion.group()]--;
      count(completion.request(), completion.atMs());
      Deque<Request> queue = queues.get(completion.group());
      while (!queue.isEmpty() && queue.getFirst().deadlineMs() <= nowMs) {
        queue.removeFirst();
      }
      if (!queue.isEmpty()) {
        begin(completion.group(), queue.removeFirst(), nowMs);
      }
      if (policy == Policy.ADMISSION) {
        scheduler.observe(completion.serviceMs());
        dispatchAdmitted(scheduler.release(groups.get(completion.group()), nowMs), nowMs);
      }
    }
  }

  private void count(Request request, long endMs) {
    boolean isCounted =
        request.arrivedMs() >= WARM_UP_MS && request.arrivedMs() < END_MS - DEADLINE_MS;
    answeredInTime[request.team()] += isCounted && endMs <= request.deadlineMs() ? 1 : 0;
  }

  private int poisson(double mean) {
    double limit = Math.exp(-mean);
    int count = 0;
    for (double product = random.nextDouble(); product > limit; product *= random.nextDouble()) {
      count++;
    }
    return count;
  }

  private static ServingGroup group(int number) {
    return new ServingGroup(
        new GroupId("g" + number),
        POOL,
        1,
        List.of(new HostId("h" + number)),
        "127.0.0.1:1",
        new FailureDomain("a"),
        "i",
        false,
        0);
  }
}
