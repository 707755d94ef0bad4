package org.limpetring.entry;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpRequest;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.limpetring.base.LogEvent;
import org.limpetring.base.ResultCode;
import org.limpetring.entry.model.Route;
import org.limpetring.entry.net.CallerConnection;
import org.limpetring.entry.port.CallerRequest;

/** Accepts callers' requests: matches the route and checks the key, or rejects the request. */
final class CallerHandler implements CallerConnection.Handler {

  private final EntryCore core;
  private final Set<CallerConnection> connections = new HashSet<>();

  CallerHandler(EntryCore core) {
    this.core = core;
  }

  @Override
  public void onOpen(CallerConnection connection) {
    connections.add(connection);
  }

  @Override
  public CallerConnection.RequestHandle onRequest(
      CallerConnection connection, HttpRequest head, ByteBuf body) {
    CallerRequest request = core.format().read(head);
    if (!core.hasConfig()) {
      return reject(connection, request, body, ResultCode.NOT_READY);
    }
    Route route = core.table().match(request.host(), request.path());
    if (route == null) {
      return reject(connection, request, body, ResultCode.NO_ROUTE);
    }
    if (!core.table().isAllowed(route, request.key())) {
      return reject(connection, request, body, ResultCode.BAD_KEY);
    }
    if (!core.canComplete(route, Math.min(request.deadlineMs(), route.timeoutMs()))) {
      return reject(connection, request, body, ResultCode.STOPPING);
    }
    RequestFlow flow = new RequestFlow(core, connection, request, body, route);
    flow.start();
    return flow;
  }

  private CallerConnection.RequestHandle reject(
      CallerConnection connection, CallerRequest request, ByteBuf body, ResultCode code) {
    body.release();
    connection.respond(
        code.httpStatus(),
        null,
        Unpooled.copiedBuffer(code.meaning() + "\n", java.nio.charset.StandardCharsets.UTF_8));
    core.metrics().ended(code, 0);
    core.log()
        .write(
            LogEvent.REQUEST_REFUSED,
            "request",
            request.id(),
            "code",
            code.number(),
            "host",
            request.host(),
            "path",
            request.path(),
            "config",
            core.table().config().version());
    return CallerConnection.RequestHandle.NONE;
  }

  @Override
  public long maxBodyBytes() {
    return core.table().config().limits().maxBodyBytes();
  }

  @Override
  public boolean isStopping() {
    return core.isStopping();
  }

  @Override
  public void onClosed(CallerConnection connection) {
    connections.remove(connection);
  }

  /** Closes connections that have no request in progress. */
  void closeIdle() {
    for (CallerConnection connection : List.copyOf(connections)) {
      connection.closeIfIdle();
    }
  }

  /** Whether any connection has a request in progress. */
  boolean isBusy() {
    for (CallerConnection connection : connections) {
      if (connection.isBusy()) {
        return true;
      }
    }
    return false;
  }
}
