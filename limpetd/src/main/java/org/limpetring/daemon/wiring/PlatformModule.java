package org.limpetring.daemon.wiring;

import com.google.inject.AbstractModule;
import com.google.inject.Provides;
import com.google.inject.Singleton;
import org.limpetring.daemon.settings.DaemonSettings;
import org.limpetring.platform.HostList;
import org.limpetring.platform.ObjectStore;
import org.limpetring.platform.WeightStore;
import org.limpetring.platform.http.HttpHostList;
import org.limpetring.platform.http.HttpObjectStore;
import org.limpetring.platform.http.HttpPlatformClient;
import org.limpetring.platform.http.HttpWeightStore;
import org.limpetring.platform.http.PlatformSettings;

/** The platform over HTTP. */
public final class PlatformModule extends AbstractModule {

  @Provides
  @Singleton
  HttpPlatformClient client(DaemonSettings settings) {
    return new HttpPlatformClient(PlatformSettings.withDefaults(settings.platformUrl()));
  }

  @Provides
  @Singleton
  ObjectStore objectStore(HttpPlatformClient client) {
    return new HttpObjectStore(client);
  }

  @Provides
  @Singleton
  HostList hostList(HttpPlatformClient client) {
    return new HttpHostList(client);
  }

  @Provides
  @Singleton
  WeightStore weightStore(HttpPlatformClient client) {
    return new HttpWeightStore(client);
  }
}
