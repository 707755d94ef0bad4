package org.limpetring.entry.group;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;
import org.limpetring.entry.model.EngineSpec;
import org.limpetring.entry.model.ModelSpec;

/**
 * Decides which free hosts form groups now, and which load a model for later groups.
 *
 * <p>Load pattern: members fail every few seconds; a surviving host with staged weights joins a new
 * group within a second, an empty host needs many seconds. Therefore hosts with staged weights form
 * groups at once, starting with the model that has the least capacity for its share. Empty hosts
 * load the main model of their fabric domain, so that survivors of several groups there can form a
 * complete one.
 *
 * <p>Load pattern: a failure domain with most groups of one model goes out of service, and the
 * groups that are left of that model are full while those of another are half idle. Therefore hosts
 * are divided by what callers demand of each model, and spares of a model with room load the one
 * that is short.
 *
 * <p>Load pattern: a small model with tight objectives is short while a large one is not, or both
 * are short after a loss and the weight store takes many seconds to fill all empty hosts. Therefore
 * groups, loads and spares go first to the model whose more urgent requests are unmet, until its
 * groups, with those that are under way, meet the demand. Hosts that {@link HostReallocation} has
 * freed for a model are used for that model only.
 */
public final class Formation {

  /** New group; the first member is the head. */
  public record NewGroup(String model, List<String> members, int loads) {}

  /** Order to load a model onto a host. */
  public record Staging(String host, String model) {}

  /** Groups to form and loads to begin now. */
  public record Decision(List<NewGroup> groups, List<Staging> stagings) {}

  /**
   * Fraction of hosts that are being replaced at any time; a larger group is complete less often.
   */
  private static final double HOST_LOSS_RATIO = 0.05;

  /** Spares of a fabric domain's main model, as a fraction of the hosts that hold it. */
  private static final double SPARE_FRACTION = 0.08;

  /** Bounds of a model's share by demand, as multiples of its configured share. */
  private static final double MIN_DEMAND = 1.0 / 3;

  private static final double MAX_DEMAND = 3;

  /** Load of a model's groups above which spares of other models load it. */
  private static final double SHORT_LOAD = 0.9;

  /** Load of a model's groups below which it can do without its spares. */
  private static final double ROOMY_LOAD = 0.7;

  /** Weight of a fabric domain's main model, since surviving hosts there can complete a group. */
  private static final double MAIN_MODEL_WEIGHT = 4;

  /** Weight of loads for a model with unmet demand; halved with each less urgent rank. */
  private static final double URGENT_WEIGHT = 16;

  /** Urgency of a model that has requests but no group, not even one under way. */
  private static final int NO_GROUP = -1;

  private final EngineSpec engine;
  private final Map<String, ModelDemand> demands;
  private final Map<String, Integer> servingByModel;
  private final Map<String, Double> shares;
  private final Map<String, Double> hostsByModel = new HashMap<>();
  private final Map<String, List<FreeHost>> freeByDomain = new TreeMap<>();
  private final Map<String, Map<String, Integer>> modelsByDomain;
  private final List<NewGroup> groups = new ArrayList<>();
  private final List<Staging> stagings = new ArrayList<>();
  private int loadsLeft;

  private Formation(
      EngineSpec engine,
      List<FreeHost> free,
      Map<String, Integer> groupsByModel,
      Map<String, Integer> servingByModel,
      Map<String, Map<String, Integer>> modelsByDomain,
      Map<String, ModelDemand> demands,
      int loadsLeft) {
    this.engine = engine;
    this.demands = demands;
    this.servingByModel = servingByModel;
    this.shares = sharesByDemand(engine, demands);
    this.modelsByDomain = modelsByDomain;
    this.loadsLeft = loadsLeft;
    for (ModelSpec model : engine.models()) {
      hostsByModel.put(
          model.name(), (double) groupsByModel.getOrDefault(model.name(), 0) * model.groupSize());
    }
    for (FreeHost host : free) {
      freeByDomain.computeIfAbsent(host.fabricDomain(), key -> new ArrayList<>()).add(host);
    }
  }

  /**
   * Decides which groups form and which loads begin.
   *
   * @param free hosts that belong to no group
   * @param groupsByModel number of serving or forming groups by model, without those in failure
   *     domains out of service
   * @param modelsByDomain number of hosts by fabric domain and by the model that they hold, in
   *     groups or free
   * @param slotsNeeded slots that callers' requests occupy on average, by model; 0 if unknown
   * @param loadsLeft number of loads that may begin now
   */
  public static Decision decide(
      EngineSpec engine,
      List<FreeHost> free,
      Map<String, Integer> groupsByModel,
      Map<String, Map<String, Integer>> modelsByDomain,
      Map<String, Double> slotsNeeded,
      int loadsLeft) {
    Map<String, ModelDemand> demands = new HashMap<>();
    slotsNeeded.forEach((model, slots) -> demands.put(model, ModelDemand.ofSlots(slots)));
    return decide(engine, free, groupsByModel, groupsByModel, modelsByDomain, demands, loadsLeft);
  }

  /**
   * Decides which groups form and which loads begin, with unmet demand.
   *
   * @param servingByModel number of groups that serve, by model
   * @param demands demand by model
   */
  public static Decision decide(
      EngineSpec engine,
      List<FreeHost> free,
      Map<String, Integer> groupsByModel,
      Map<String, Integer> servingByModel,
      Map<String, Map<String, Integer>> modelsByDomain,
      Map<String, ModelDemand> demands,
      int loadsLeft) {
    Formation formation =
        new Formation(
            engine, free, groupsByModel, servingByModel, modelsByDomain, demands, loadsLeft);
    formation.useReserved();
    formation.formFromLoaded();
    formation.formFromEmpty();
    formation.stage();
    formation.stageSpares();
    return new Decision(formation.groups, formation.stagings);
  }

  /** Parts of the hosts that the models get: by demand once it is known for all of them. */
  private static Map<String, Double> sharesByDemand(
      EngineSpec engine, Map<String, ModelDemand> demands) {
    double hostsNeeded = 0;
    boolean isKnown = true;
    for (ModelSpec model : engine.models()) {
      double slots = demand(demands, model).weightedSlots();
      isKnown = isKnown && slots > 0;
      hostsNeeded += slots * model.groupSize();
    }
    Map<String, Double> shares = new HashMap<>();
    for (ModelSpec model : engine.models()) {
      double share = model.share();
      if (isKnown) {
        double demanded = demand(demands, model).weightedSlots() * model.groupSize() / hostsNeeded;
        share = Math.min(MAX_DEMAND * share, Math.max(MIN_DEMAND * share, demanded));
      }
      shares.put(model.name(), Math.max(0.001, share));
    }
    return shares;
  }

  private static ModelDemand demand(Map<String, ModelDemand> demands, ModelSpec model) {
    return demands.getOrDefault(model.name(), ModelDemand.ofSlots(0));
  }

  /**
   * Models in the order in which they get hosts: by the urgency of their unmet demand, then in
   * ascending order of capacity for their share of the load.
   */
  private List<ModelSpec> scarcestFirst() {
    List<ModelSpec> models = new ArrayList<>(engine.models());
    models.sort(
        Comparator.comparingInt(this::urgency)
            .thenComparingDouble(this::capacityPerShare)
            .thenComparing(model -> -model.share()));
    return models;
  }

  /**
   * Most urgent rank of a model's unmet demand while its groups, with those under way, do not meet
   * it; {@link ModelDemand#NO_RANK} if they do.
   */
  private int urgency(ModelSpec model) {
    ModelDemand demand = demand(demands, model);
    int planned = (int) (plannedHosts(model) / model.groupSize());
    if (planned == 0 && demand.requestsPerMinute() > 0) {
      return NO_GROUP;
    }
    int wanted = demand.groupsWanted(servingByModel.getOrDefault(model.name(), 0));
    boolean isFilled = demand.isUnknown() || load(model) >= ModelDemand.MIN_SHORT_LOAD;
    return planned < wanted && isFilled ? demand.urgentRank() : ModelDemand.NO_RANK;
  }

  private boolean isUrgent(ModelSpec model) {
    return urgency(model) != ModelDemand.NO_RANK;
  }

  /** Uses hosts that were freed for a model: whole groups first, the others load it. */
  private void useReserved() {
    for (ModelSpec model : engine.models()) {
      for (List<FreeHost> hosts : freeByDomain.values()) {
        List<FreeHost> reserved = new ArrayList<>();
        for (FreeHost host : hosts) {
          if (model.name().equals(host.reservedModel()) && host.loadingModel() == null) {
            reserved.add(host);
          }
        }
        while (reserved.size() >= model.groupSize() && loadsLeft >= model.groupSize()) {
          List<FreeHost> members = List.copyOf(reserved.subList(0, model.groupSize()));
          reserved.removeAll(members);
          form(model, members, hosts, model.groupSize());
        }
        for (FreeHost host : reserved) {
          if (loadsLeft > 0) {
            stage(host, model);
          }
        }
      }
    }
  }

  private void stage(FreeHost host, ModelSpec model) {
    stagings.add(new Staging(host.id(), model.name()));
    List<FreeHost> hosts = Objects.requireNonNull(freeByDomain.get(host.fabricDomain()));
    hosts.remove(host);
    hosts.add(
        new FreeHost(
            host.id(), host.fabricDomain(), null, model.name(), null, host.reservedModel()));
    loadsLeft--;
  }

  private static boolean isReserved(FreeHost host) {
    return host.reservedModel() != null;
  }

  private double capacityPerShare(ModelSpec model) {
    double completeProbability = Math.pow(1 - HOST_LOSS_RATIO, model.groupSize());
    return hostsByModel.getOrDefault(model.name(), 0.0)
        * completeProbability
        / shares.getOrDefault(model.name(), model.share());
  }

  private void formFromLoaded() {
    boolean isFormed = true;
    while (isFormed) {
      isFormed = false;
      for (ModelSpec model : scarcestFirst()) {
        if (formOneFromLoaded(model)) {
          isFormed = true;
          break;
        }
      }
    }
  }

  private boolean formOneFromLoaded(ModelSpec model) {
    for (List<FreeHost> hosts : freeByDomain.values()) {
      List<FreeHost> loaded = new ArrayList<>();
      for (FreeHost host : hosts) {
        if (model.name().equals(host.stagedModel())
            && host.loadingModel() == null
            && !isReserved(host)) {
          loaded.add(host);
        }
      }
      if (loaded.size() >= model.groupSize()) {
        loaded.sort(
            Comparator.comparing((FreeHost host) -> !model.name().equals(host.lastModel()))
                .thenComparing(FreeHost::id));
        form(model, loaded.subList(0, model.groupSize()), hosts, 0);
        return true;
      }
    }
    return false;
  }

  private void formFromEmpty() {
    boolean isFormed = true;
    while (isFormed && loadsLeft > 0) {
      isFormed = false;
      for (ModelSpec model : scarcestFirst()) {
        if (formOneFromEmpty(model)) {
          isFormed = true;
          break;
        }
      }
    }
  }

  private boolean formOneFromEmpty(ModelSpec model) {
    for (Map.Entry<String, List<FreeHost>> domain : freeByDomain.entrySet()) {
      List<FreeHost> empty = empty(domain.getValue());
      ModelSpec main = mainModel(domain.getKey());
      boolean mayTakeModel = true;
      int reserve = 0;
      boolean isFirst = main != null && urgency(model) < urgency(main);
      if (main != null && !main.equals(model) && !isFirst) {
        mayTakeModel = empty.size() < main.groupSize();
        reserve = spares(domain.getKey(), main);
      }
      if (mayTakeModel && empty.size() - reserve >= model.groupSize()) {
        if (loadsLeft < model.groupSize()) {
          // the other members load as the weight store permits
          empty.subList(0, loadsLeft).forEach(host -> stage(host, model));
          return true;
        }
        form(model, empty.subList(0, model.groupSize()), domain.getValue(), model.groupSize());
        return true;
      }
    }
    return false;
  }

  /** Number of spares that a fabric domain needs for a model, to replace lost members at once. */
  private int spares(String domain, ModelSpec model) {
    int holders = modelsByDomain.getOrDefault(domain, Map.of()).getOrDefault(model.name(), 0);
    return (int) Math.ceil(holders * SPARE_FRACTION);
  }

  private static List<FreeHost> empty(List<FreeHost> hosts) {
    List<FreeHost> empty = new ArrayList<>();
    for (FreeHost host : hosts) {
      if (isEmpty(host)) {
        empty.add(host);
      }
    }
    return empty;
  }

  private static boolean isEmpty(FreeHost host) {
    return host.stagedModel() == null && host.loadingModel() == null && !isReserved(host);
  }

  private void form(ModelSpec model, List<FreeHost> members, List<FreeHost> domain, int loads) {
    List<String> ids = new ArrayList<>();
    for (FreeHost member : members) {
      ids.add(member.id());
    }
    groups.add(new NewGroup(model.name(), ids, loads));
    hostsByModel.merge(model.name(), (double) model.groupSize(), Double::sum);
    modelsByDomain
        .computeIfAbsent(members.get(0).fabricDomain(), key -> new HashMap<>())
        .merge(model.name(), loads, Integer::sum);
    domain.removeAll(List.copyOf(members));
    loadsLeft -= loads;
  }

  /** Assigns model loads to empty hosts, starting where the gain is highest. */
  private void stage() {
    while (loadsLeft > 0) {
      FreeHost bestHost = null;
      ModelSpec bestModel = null;
      double best = 0;
      for (Map.Entry<String, List<FreeHost>> domain : freeByDomain.entrySet()) {
        FreeHost host = firstEmpty(domain.getValue());
        for (ModelSpec model : engine.models()) {
          double stagingGain =
              host == null ? 0 : stagingGain(domain.getKey(), domain.getValue(), model);
          if (stagingGain > best) {
            best = stagingGain;
            bestHost = host;
            bestModel = model;
          }
        }
      }
      if (bestHost == null || bestModel == null) {
        return;
      }
      stage(bestHost, bestModel);
    }
  }

  /**
   * Lets spares that are too few for a group of their own model load a model that is short, where
   * they complete a group of it.
   */
  private void stageSpares() {
    for (ModelSpec wanted : scarcestFirst()) {
      for (List<FreeHost> hosts : freeByDomain.values()) {
        if (load(wanted) <= SHORT_LOAD && !isUrgent(wanted)) {
          break;
        }
        int missing = wanted.groupSize() - count(hosts, wanted) % wanted.groupSize();
        List<FreeHost> spares = sparesToGive(hosts, wanted);
        if (missing > Math.min(loadsLeft, spares.size())) {
          continue;
        }
        for (FreeHost spare : spares.subList(0, missing)) {
          stage(spare, wanted);
        }
      }
    }
  }

  private List<FreeHost> sparesToGive(List<FreeHost> hosts, ModelSpec wanted) {
    List<FreeHost> spares = new ArrayList<>();
    for (FreeHost host : hosts) {
      ModelSpec held = host.stagedModel() == null ? null : engine.model(host.stagedModel());
      boolean isGiven =
          held != null
              && host.loadingModel() == null
              && !isReserved(host)
              && !held.equals(wanted)
              && !isUrgent(held)
              && !demand(demands, held).isUnknown()
              && load(held) < ROOMY_LOAD;
      if (isGiven) {
        spares.add(host);
      }
    }
    return spares;
  }

  /** Part of a model's slots that its requests need, with the groups whose members load now. */
  private double load(ModelSpec model) {
    double slots = Math.max(1, plannedHosts(model) / model.groupSize()) * engine.slots();
    return demand(demands, model).slotsNeeded() / slots;
  }

  /** Hosts in the model's groups, and those whose loads complete further groups. */
  private double plannedHosts(ModelSpec model) {
    double hosts = hostsByModel.getOrDefault(model.name(), 0.0);
    for (List<FreeHost> domain : freeByDomain.values()) {
      int loading = 0;
      for (FreeHost host : domain) {
        loading += model.name().equals(host.loadingModel()) ? 1 : 0;
      }
      hosts += loading - loading % model.groupSize();
    }
    return hosts;
  }

  private static @Nullable FreeHost firstEmpty(List<FreeHost> hosts) {
    for (FreeHost host : hosts) {
      if (isEmpty(host)) {
        return host;
      }
    }
    return null;
  }

  /**
   * Value of one more host of the model: higher for a model with little capacity, lower the more
   * loads a group still needs and the longer they take.
   */
  private double stagingGain(String domain, List<FreeHost> hosts, ModelSpec model) {
    if (!canCompleteGroup(hosts) && lacksAnySpare(domain, hosts)) {
      return spareGain(domain, hosts, model);
    }
    int missing = model.groupSize() - count(hosts, model) % model.groupSize();
    boolean isMain = model.equals(mainModel(domain));
    int urgency = urgency(model);
    double urgentWeight =
        urgency == ModelDemand.NO_RANK ? 1 : Math.max(1, URGENT_WEIGHT / Math.pow(2, urgency));
    return urgentWeight
        * (isMain ? MAIN_MODEL_WEIGHT : 1)
        / ((capacityPerShare(model) + 1) * missing * Math.max(1, model.loadMs()));
  }

  /** Whether the empty hosts are enough to complete a group of any model. */
  private boolean canCompleteGroup(List<FreeHost> hosts) {
    int empty = empty(hosts).size();
    for (ModelSpec model : engine.models()) {
      if (model.groupSize() - count(hosts, model) % model.groupSize() <= empty) {
        return true;
      }
    }
    return false;
  }

  private boolean lacksAnySpare(String domain, List<FreeHost> hosts) {
    for (ModelSpec model : engine.models()) {
      if (lacksSpare(domain, hosts, model)) {
        return true;
      }
    }
    return false;
  }

  /** Whether the groups of a model in a fabric domain have fewer spares than they need. */
  private boolean lacksSpare(String domain, List<FreeHost> hosts, ModelSpec model) {
    return count(hosts, model) < spares(domain, model);
  }

  /**
   * Value of a host that can only replace a lost member: a loss leaves all other members of its
   * group idle, and a model is hit as often as it has members in the fabric domain.
   */
  private double spareGain(String domain, List<FreeHost> hosts, ModelSpec model) {
    if (!lacksSpare(domain, hosts, model)) {
      return 0;
    }
    int holders = modelsByDomain.getOrDefault(domain, Map.of()).getOrDefault(model.name(), 0);
    return (double) holders * (model.groupSize() - 1) / Math.max(1.0, model.loadMs());
  }

  /** Number of hosts that hold the model or load it. */
  private static int count(List<FreeHost> hosts, ModelSpec model) {
    int count = 0;
    for (FreeHost host : hosts) {
      String held = host.loadingModel() != null ? host.loadingModel() : host.stagedModel();
      count += model.name().equals(held) ? 1 : 0;
    }
    return count;
  }

  /** Model that most hosts of a fabric domain hold, or null if they hold none. */
  private @Nullable ModelSpec mainModel(String domain) {
    Map<String, Integer> counts = modelsByDomain.getOrDefault(domain, Map.of());
    ModelSpec best = null;
    int maxCount = 0;
    for (ModelSpec model : engine.models()) {
      int count = counts.getOrDefault(model.name(), 0);
      if (count > maxCount) {
        maxCount = count;
        best = model;
      }
    }
    return best;
  }
}
