package org.limpetring.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.limpetring.entry.model.GroupPlan;
import org.limpetring.entry.port.ObjectKind;
import org.limpetring.entry.port.PlatformStore;
import org.limpetring.entry.port.StoreReply;
import org.limpetring.entry.port.StoredObject;
import org.limpetring.entry.port.StoredObjects;

/** Store whose answers a test gives by hand; holds one plan with conditional writes. */
public final class ScriptedStore implements PlatformStore {

  /** A call that waits for its answer. */
  public record Call(String what, long revision, Consumer<StoreReply<Object>> done) {

    /** Answers the call. */
    @SuppressWarnings("unchecked")
    public void answer(StoreReply<?> reply) {
      done.accept((StoreReply<Object>) reply);
    }
  }

  /** Lists and watches that wait, oldest first. */
  public final List<Call> calls = new ArrayList<>();

  private @Nullable GroupPlan plan;
  private long planRevision;
  private boolean isNextAnswerLost;

  /** The next write takes effect and its answer is lost. */
  public void loseNextAnswer() {
    isNextAnswerLost = true;
  }

  /** Another daemon writes the plan. */
  public void writePlan(GroupPlan other) {
    plan = other;
    planRevision++;
  }

  /** The stored plan. */
  public GroupPlan plan() {
    return Objects.requireNonNull(plan);
  }

  /** Takes the oldest waiting call. */
  public Call next() {
    return calls.remove(0);
  }

  @SuppressWarnings("unchecked")
  private <T> void add(String what, long revision, Consumer<StoreReply<T>> done) {
    calls.add(new Call(what, revision, (Consumer<StoreReply<Object>>) (Consumer<?>) done));
  }

  @Override
  public <T> void list(
      ObjectKind<T> kind,
      Consistency consistency,
      long timeoutMs,
      Consumer<StoreReply<StoredObjects<T>>> done) {
    add("list", 0, done);
  }

  @Override
  public <T> void watch(
      ObjectKind<T> kind,
      Consistency consistency,
      long afterRevision,
      long waitMs,
      long timeoutMs,
      Consumer<StoreReply<StoredObjects<T>>> done) {
    add("watch", afterRevision, done);
  }

  @Override
  @SuppressWarnings("unchecked")
  public <T> void get(
      ObjectKind<T> kind, String name, long timeoutMs, Consumer<StoreReply<StoredObject<T>>> done) {
    done.accept(
        plan == null
            ? new StoreReply.Missing<>()
            : new StoreReply.Ok<>(new StoredObject<>(name, planRevision, (T) plan, false)));
  }

  @Override
  public <T> void create(
      ObjectKind<T> kind, String name, T value, long timeoutMs, Consumer<StoreReply<Long>> done) {
    if (plan != null) {
      done.accept(new StoreReply.Conflict<>());
      return;
    }
    write(value, done);
  }

  @Override
  public <T> void replace(
      ObjectKind<T> kind,
      String name,
      T value,
      long revision,
      long timeoutMs,
      Consumer<StoreReply<Long>> done) {
    if (revision != planRevision) {
      done.accept(new StoreReply.Conflict<>());
      return;
    }
    write(value, done);
  }

  private void write(Object value, Consumer<StoreReply<Long>> done) {
    plan = (GroupPlan) value;
    planRevision++;
    if (isNextAnswerLost) {
      isNextAnswerLost = false;
      done.accept(new StoreReply.Unknown<>("lost"));
      return;
    }
    done.accept(new StoreReply.Ok<>(planRevision));
  }
}
