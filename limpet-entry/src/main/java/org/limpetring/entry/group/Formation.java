package org.limpetring.entry.group;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
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

  private final EngineSpec engine;
  private final Map<String, Double> capacity = new HashMap<>();
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
      capacity.put(model.name(), groupsByModel.getOrDefault(model.name(), 0) * capacityOf(model));
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

  /** Work that one group of the model does, relative to a group of pace 1. */
  private static double capacityOf(ModelSpec model) {
    return 1 / Math.max(0.01, model.pace());
  }

  /** Models, the one with the least capacity for its share first. */
  private List<ModelSpec> scarcestFirst() {
    List<ModelSpec> models = new ArrayList<>(engine.models());
    models.sort(Comparator.comparingDouble(this::supply).thenComparing(model -> -model.share()));
    return models;
  }

  private double supply(ModelSpec model) {
    return capacity.getOrDefault(model.name(), 0.0) / Math.max(0.001, model.share());
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
      for (List<FreeHost> hosts : freeByDomain.values()) {
        List<FreeHost> empty = empty(hosts);
        ModelSpec model = modelThatFits(empty.size());
        if (model != null) {
          form(model, empty.subList(0, model.groupSize()), hosts, model.groupSize());
          isFormed = true;
          break;
        }
      }
    }
  }

  private static List<FreeHost> empty(List<FreeHost> hosts) {
    List<FreeHost> empty = new ArrayList<>();
    for (FreeHost host : hosts) {
      if (host.stagedModel() == null && host.loadingModel() == null) {
        empty.add(host);
      }
    }
    return empty;
  }

  private @Nullable ModelSpec modelThatFits(int hosts) {
    for (ModelSpec model : scarcestFirst()) {
      if (model.groupSize() <= hosts) {
        return model;
      }
    }
    return null;
  }

  private void form(ModelSpec model, List<FreeHost> members, List<FreeHost> domain, int loads) {
    List<String> ids = new ArrayList<>();
    for (FreeHost member : members) {
      ids.add(member.id());
    }
    groups.add(new NewGroup(model.name(), ids, loads));
    capacity.merge(model.name(), capacityOf(model), Double::sum);
    domain.removeAll(List.copyOf(members));
    loadsLeft -= loads;
  }

  private void stage() {
    for (Map.Entry<String, List<FreeHost>> domain : freeByDomain.entrySet()) {
      for (FreeHost host : empty(domain.getValue())) {
        if (loadsLeft <= 0) {
          return;
        }
        stagings.add(new Staging(host.id(), modelOf(domain.getKey()).name()));
        loadsLeft--;
      }
    }
  }

  /** Model that most hosts of a fabric domain hold; the scarcest one where none do. */
  private ModelSpec modelOf(String domain) {
    Map<String, Integer> counts = modelsByDomain.getOrDefault(domain, Map.of());
    ModelSpec best = scarcestFirst().get(0);
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
