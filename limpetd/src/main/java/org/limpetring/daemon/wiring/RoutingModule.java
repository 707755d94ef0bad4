package org.limpetring.daemon.wiring;

import com.google.inject.AbstractModule;
import com.google.inject.Provides;
import com.google.inject.Singleton;
import org.limpetring.base.Clock;
import org.limpetring.base.DaemonId;
import org.limpetring.daemon.admission.ColdGroups;
import org.limpetring.daemon.admission.GatedAdmission;
import org.limpetring.daemon.admission.NoticePort;
import org.limpetring.daemon.admission.WarmGroups;
import org.limpetring.daemon.caller.Admission;
import org.limpetring.daemon.caller.ClaimPort;
import org.limpetring.daemon.caller.Claims;
import org.limpetring.daemon.caller.PoisonGuard;
import org.limpetring.daemon.caller.ShardedClaims;
import org.limpetring.routing.admit.RetryBudget;
import org.limpetring.routing.cold.ColdGate;
import org.limpetring.routing.cold.ColdGroupDetector;
import org.limpetring.routing.cold.ColdSettings;
import org.limpetring.routing.poison.PoisonTracker;
import org.limpetring.routing.request.RetryPermit;

/** Bindings of the request path: admission, claims, retries and poison requests. */
public final class RoutingModule extends AbstractModule {

  private static final ColdSettings COLD_SETTINGS = new ColdSettings(15_000, 500, 5_000, 4);
  private static final double RETRIES_PER_REQUEST = 0.2;
  private static final double RETRIES_PER_SECOND = 10;
  private static final double MAX_RETRY_BURST = 200;
  private static final int MAX_TRACKED_REQUESTS = 10_000;

  @Override
  protected void configure() {
    bind(ColdSettings.class).toInstance(COLD_SETTINGS);
    bind(WarmGroups.class).in(Singleton.class);
    bind(ColdGroups.class).in(Singleton.class);
    bind(GatedAdmission.class).in(Singleton.class);
    bind(Admission.class).to(GatedAdmission.class);
    bind(LocalClaims.class).in(Singleton.class);
    bind(PeerClaims.class).in(Singleton.class);
    bind(ClaimPort.class).to(PeerClaims.class);
    bind(Claims.class).to(ShardedClaims.class).in(Singleton.class);
    bind(PoisonGuard.class).in(Singleton.class);
    bind(NoticePort.class).to(TopicGossip.class);
    bind(RetryPermit.class).to(RetryBudget.class);
  }

  @Provides
  @Singleton
  ColdGate coldGate(DaemonId self) {
    return new ColdGate(self, COLD_SETTINGS);
  }

  @Provides
  @Singleton
  ColdGroupDetector coldGroupDetector() {
    return new ColdGroupDetector(COLD_SETTINGS);
  }

  @Provides
  @Singleton
  PoisonTracker poisonTracker(Clock clock) {
    return new PoisonTracker(MAX_TRACKED_REQUESTS, clock);
  }

  @Provides
  @Singleton
  RetryBudget retryBudget(Clock clock) {
    return new RetryBudget(RETRIES_PER_REQUEST, RETRIES_PER_SECOND, MAX_RETRY_BURST, clock.nowMs());
  }
}
