package org.limpetring.daemon.wiring;

import com.google.inject.AbstractModule;
import com.google.inject.Provides;
import com.google.inject.Singleton;
import java.nio.file.Path;
import org.jspecify.annotations.Nullable;
import org.limpetring.base.Clock;
import org.limpetring.base.DaemonId;
import org.limpetring.daemon.settings.DaemonSettings;
import org.limpetring.daemon.settings.DaemonSettings.TlsFiles;
import org.limpetring.fleet.DaemonEntry;
import org.limpetring.fleet.config.TableFormat;
import org.limpetring.fleet.node.FleetNode;
import org.limpetring.fleet.node.FleetSettings;
import org.limpetring.peer.NettyPeerTransport;
import org.limpetring.peer.PeerSettings;
import org.limpetring.peer.PeerTls;
import org.limpetring.peer.PeerTransport;
import org.limpetring.store.ObjectStore;

/** Bindings of fleet membership and the transport between daemons. */
public final class FleetModule extends AbstractModule {

  private static final long KEY_RELOAD_INTERVAL_MS = 5_000;

  @Override
  protected void configure() {
    bind(FleetNodeAdapter.class).in(Singleton.class);
    bind(FleetPort.class).to(FleetNodeAdapter.class);
    bind(PeerDispatcher.class).in(Singleton.class);
    bind(TopicGossip.class).in(Singleton.class);
  }

  @Provides
  @Singleton
  PeerTransport transport(DaemonId self, DaemonSettings settings) {
    PeerSettings peers = PeerSettings.withDefaults(self, settings.address(), settings.peerPort());
    return new NettyPeerTransport(peers, tls(settings.tls()));
  }

  @Provides
  @Singleton
  FleetNode node(
      DaemonId self,
      DaemonSettings settings,
      ObjectStore store,
      PeerTransport transport,
      Clock clock) {
    DaemonEntry entry =
        new DaemonEntry(self, settings.address(), settings.peerPort(), settings.failureDomain());
    return new FleetNode(
        entry, FleetSettings.DEFAULT, new TableFormat(), store, transport, clock, self.hashCode());
  }

  private static @Nullable PeerTls tls(@Nullable TlsFiles files) {
    if (files == null) {
      return null;
    }
    return new PeerTls(
        Path.of(files.certificateChain()),
        Path.of(files.privateKey()),
        Path.of(files.trustedIssuers()),
        KEY_RELOAD_INTERVAL_MS);
  }
}
