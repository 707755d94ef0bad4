package org.limpetring.standin.http;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.Connector;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/** HTTP server with many listening sockets that share one thread pool. */
public final class Endpoints implements AutoCloseable {

  private static final int MAX_THREADS = 4_000;
  private static final int BACKLOG = 1_024;
  private static final long IDLE_MS = 600_000;

  private final Server server;
  private final Map<Connector, Service> services = new ConcurrentHashMap<>();

  /** Creates a server without sockets. */
  public Endpoints() {
    QueuedThreadPool threads = new QueuedThreadPool(MAX_THREADS, 16);
    threads.setName("standin");
    threads.setReservedThreads(0);
    server = new Server(threads);
    server.setStopTimeout(0);
    server.setHandler(new ConnectorDispatcher());
  }

  /** Adds a socket on {@code address:port}; port 0 picks a free port. */
  public synchronized Endpoint open(String address, int port, Service service) {
    HttpConfiguration configuration = new HttpConfiguration();
    configuration.setSendServerVersion(false);
    ServerConnector connector =
        new ServerConnector(
            server, null, null, null, 0, 1, new HttpConnectionFactory(configuration));
    connector.setHost(address);
    connector.setPort(port);
    connector.setAcceptQueueSize(BACKLOG);
    connector.setIdleTimeout(IDLE_MS);
    services.put(connector, service);
    server.addConnector(connector);
    return new Endpoint(connector);
  }

  /** Starts listening on all sockets. */
  public void start() throws IOException {
    try {
      server.start();
    } catch (Exception failure) {
      throw new IOException("cannot listen: " + failure.getMessage(), failure);
    }
  }

  @Override
  public void close() {
    try {
      server.stop();
    } catch (Exception failure) {
      throw new IllegalStateException("cannot stop the HTTP server", failure);
    }
  }

  /** A listening socket. */
  public static final class Endpoint {

    private final ServerConnector connector;

    private Endpoint(ServerConnector connector) {
      this.connector = connector;
    }

    /** Local port, once started. */
    public int port() {
      return connector.getLocalPort();
    }

    /** Connections currently open. */
    public List<Object> connections() {
      return List.copyOf(connector.getConnectedEndPoints());
    }

    /** Stops listening and closes open connections without a response. */
    public void shutDown() {
      try {
        List<EndPoint> open = List.copyOf(connector.getConnectedEndPoints());
        connector.stop();
        open.forEach(EndPoint::close);
      } catch (Exception failure) {
        throw new IllegalStateException("cannot close " + connector, failure);
      }
    }

    /** Listens again on the same address and port. */
    public void reopen() {
      try {
        connector.start();
      } catch (Exception failure) {
        throw new IllegalStateException("cannot open " + connector, failure);
      }
    }
  }

  private final class ConnectorDispatcher extends Handler.Abstract {

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
      Service service = services.get(request.getConnectionMetaData().getConnector());
      if (service == null) {
        return false;
      }
      Exchange exchange = new Exchange(request, response);
      try {
        service.handle(exchange);
        callback.succeeded();
      } catch (IOException | RuntimeException failure) {
        exchange.abort();
        callback.failed(failure);
      }
      return true;
    }
  }
}
