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
 * <p>Load pattern: members die every few seconds, a loaded survivor re-forms within a second, an
 * empty host takes many. So hosts that hold a model's weights form groups at once, the model that
 * is shortest of capacity for its share first; empty hosts load the model of their fabric domain,
 * so that survivors of several groups there make a whole one.
 */
public final class Formation {

  /** New group of hosts, the head first. */
  public record NewGroup(String model, List<String> members, int loads) {}

  /** Load of a model onto a host. */
  public record Staging(String host, String model) {}

  /** What is to be done now. */
  public record Decision(List<NewGroup> groups, List<Staging> stagings) {}

  /** Share of hosts that are being replaced at any time; a larger group is whole less often. */
  private static final double HOST_LOSS = 0.05;

  /** Spares of a fabric domain's main model, as a part of the hosts that hold it. */
  private static final double SPARE_PART = 0.08;

  /** Preference for the model of a fabric domain, whose survivors can complete a group. */
  private static final double MAIN_MODEL_WEIGHT = 4;

  private final EngineSpec engine;
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
      Map<String, Map<String, Integer>> modelsByDomain,
      int loadsLeft) {
    this.engine = engine;
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
   * Decides.
   *
   * @param free hosts that no group holds
   * @param groupsByModel groups that serve or form
   * @param modelsByDomain hosts by fabric domain and model that they hold, in groups or free
   * @param loadsLeft loads that may begin now
   */
  public static Decision decide(
      EngineSpec engine,
      List<FreeHost> free,
      Map<String, Integer> groupsByModel,
      Map<String, Map<String, Integer>> modelsByDomain,
      int loadsLeft) {
    Formation formation = new Formation(engine, free, groupsByModel, modelsByDomain, loadsLeft);
    formation.formFromLoaded();
    formation.formFromEmpty();
    formation.stage();
    return new Decision(formation.groups, formation.stagings);
  }

  /** Models, the one with the fewest hosts for its share of the work first. */
  private List<ModelSpec> scarcestFirst() {
    List<ModelSpec> models = new ArrayList<>(engine.models());
    models.sort(Comparator.comparingDouble(this::supply).thenComparing(model -> -model.share()));
    return models;
  }

  private double supply(ModelSpec model) {
    double whole = Math.pow(1 - HOST_LOSS, model.groupSize());
    return hostsByModel.getOrDefault(model.name(), 0.0) * whole / Math.max(0.001, model.share());
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
        if (model.name().equals(host.stagedModel()) && host.loadingModel() == null) {
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
      if (main != null && !main.equals(model)) {
        mayTakeModel = empty.size() < main.groupSize();
        reserve = spares(domain.getKey(), main);
      }
      if (mayTakeModel && empty.size() - reserve >= model.groupSize()) {
        form(model, empty.subList(0, model.groupSize()), domain.getValue(), model.groupSize());
        return true;
      }
    }
    return false;
  }

  /** Hosts that a fabric domain keeps for its main model, to replace lost members at once. */
  private int spares(String domain, ModelSpec main) {
    int held = modelsByDomain.getOrDefault(domain, Map.of()).getOrDefault(main.name(), 0);
    return (int) Math.ceil(held * SPARE_PART);
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
    return host.stagedModel() == null && host.loadingModel() == null;
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

  /** Loads models onto empty hosts, in the fabric domain where that completes most. */
  private void stage() {
    while (loadsLeft > 0) {
      FreeHost bestHost = null;
      ModelSpec bestModel = null;
      double best = 0;
      for (Map.Entry<String, List<FreeHost>> domain : freeByDomain.entrySet()) {
        FreeHost host = firstEmpty(domain.getValue());
        for (ModelSpec model : engine.models()) {
          double gain = host == null ? 0 : gain(domain.getKey(), domain.getValue(), model);
          if (gain > best) {
            best = gain;
            bestHost = host;
            bestModel = model;
          }
        }
      }
      if (bestHost == null || bestModel == null) {
        return;
      }
      stagings.add(new Staging(bestHost.id(), bestModel.name()));
      List<FreeHost> hosts = Objects.requireNonNull(freeByDomain.get(bestHost.fabricDomain()));
      hosts.remove(bestHost);
      hosts.add(new FreeHost(bestHost.id(), bestHost.fabricDomain(), null, bestModel.name(), null));
      loadsLeft--;
    }
  }

  private static @Nullable FreeHost firstEmpty(List<FreeHost> hosts) {
    for (FreeHost host : hosts) {
      if (isEmpty(host)) {
        return host;
      }
    }
    return null;
  }

  /** What one more host of the model is worth: how short it is, by the loads still to come. */
  private double gain(String domain, List<FreeHost> hosts, ModelSpec model) {
    int free = 0;
    for (FreeHost host : hosts) {
      boolean isOfModel =
          model.name().equals(host.loadingModel())
              || (host.loadingModel() == null && model.name().equals(host.stagedModel()));
      free += isOfModel ? 1 : 0;
    }
    int missing = model.groupSize() - free % model.groupSize();
    boolean isMain = model.equals(mainModel(domain));
    return (isMain ? MAIN_MODEL_WEIGHT : 1)
        / ((supply(model) + 1) * missing * Math.max(1, model.loadMs()));
  }

  /** Model that most hosts of a fabric domain hold, or null. */
  private @Nullable ModelSpec mainModel(String domain) {
    Map<String, Integer> counts = modelsByDomain.getOrDefault(domain, Map.of());
    ModelSpec best = null;
    int most = 0;
    for (ModelSpec model : engine.models()) {
      int count = counts.getOrDefault(model.name(), 0);
      if (count > most) {
        most = count;
        best = model;
      }
    }
    return best;
  }
}
