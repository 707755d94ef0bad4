package org.limpetring.daemon.wiring;

import com.google.inject.AbstractModule;
import com.google.inject.Provides;
import com.google.inject.Singleton;
import java.util.UUID;
import org.limpetring.base.Clock;
import org.limpetring.base.DaemonId;
import org.limpetring.daemon.caller.DaemonState;
import org.limpetring.daemon.caller.InProgressRequests;
import org.limpetring.daemon.settings.DaemonSettings;
import org.limpetring.engine.EnginePort;
import org.limpetring.engine.http.EngineSettings;
import org.limpetring.engine.http.HttpEnginePort;

/** Bindings of the whole daemon: platform, fleet, groups and request path. */
public final class DaemonModule extends AbstractModule {

  private static final int RUN_SUFFIX_LENGTH = 8;

  private final DaemonSettings settings;

  /** Binds a daemon with {@code settings}. */
  public DaemonModule(DaemonSettings settings) {
    this.settings = settings;
  }

  @Override
  protected void configure() {
    install(new PlatformModule());
    install(new FleetModule());
    install(new GroupsModule());
    install(new RoutingModule());
    bind(DaemonSettings.class).toInstance(settings);
    bind(InProgressRequests.class).toInstance(new InProgressRequests());
    bind(HostPoller.class).in(Singleton.class);
    bind(LiveDaemonState.class).in(Singleton.class);
    bind(DaemonState.class).to(LiveDaemonState.class);
  }

  @Provides
  @Singleton
  Clock clock() {
    return Clock.system();
  }

  @Provides
  @Singleton
  DaemonId daemonId() {
    String suffix = UUID.randomUUID().toString().substring(0, RUN_SUFFIX_LENGTH);
    return new DaemonId(settings.name() + "-" + suffix);
  }

  @Provides
  @Singleton
  EnginePort engine() {
    return new HttpEnginePort(EngineSettings.DEFAULT);
  }
}
