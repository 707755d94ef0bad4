package org.limpetring.engine.http;

import java.io.IOException;
import java.io.InputStream;
import java.net.SocketTimeoutException;
import java.net.URI;
import java.util.Arrays;
import java.util.concurrent.TimeUnit;
import org.apache.hc.client5.http.ConnectTimeoutException;
import org.apache.hc.client5.http.HttpHostConnectException;
import org.apache.hc.client5.http.classic.methods.HttpUriRequestBase;
import org.apache.hc.client5.http.config.ConnectionConfig;
import org.apache.hc.client5.http.config.RequestConfig;
import org.apache.hc.client5.http.impl.classic.CloseableHttpClient;
import org.apache.hc.client5.http.impl.classic.HttpClients;
import org.apache.hc.client5.http.impl.io.ManagedHttpClientConnectionFactory;
import org.apache.hc.client5.http.impl.io.PoolingHttpClientConnectionManagerBuilder;
import org.apache.hc.client5.http.protocol.HttpClientContext;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ConnectionRequestTimeoutException;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpEntity;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.io.SocketConfig;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.util.Timeout;
import org.jboss.logging.Logger;
import org.jspecify.annotations.Nullable;
import org.limpetring.base.LogEvent;
import org.limpetring.base.Outcome;
import org.limpetring.base.ResultCode;
import org.limpetring.base.RunState;
import org.limpetring.base.StatusLines;
import org.limpetring.engine.EnginePort;
import org.limpetring.engine.EngineRequest;
import org.limpetring.engine.ResponseSink;
import org.limpetring.engine.ResponseSink.CallerDisconnectedException;
import org.limpetring.groups.MemberOrder;
import org.limpetring.groups.OrderResult;
import org.limpetring.groups.ReportResult;

/**
 * HTTP adapter that derives from the point of failure whether a request may have run: it cannot
 * have run before a connection is established, and may have run afterwards.
 *
 * <p>Automatic retries of the client library are disabled.
 */
public final class HttpEnginePort implements EnginePort, AutoCloseable {

  private static final Logger LOGGER = Logger.getLogger(HttpEnginePort.class);
  private static final int CHUNK_BYTES = 16_384;
  private static final int MIN_SERVER_ERROR_STATUS = 500;

  private final EngineSettings settings;
  private final CloseableHttpClient client;
  private final ControlClient control;

  /** Creates the connection pool; {@link #close} releases its connections. */
  public HttpEnginePort(EngineSettings settings) {
    this.settings = settings;
    this.client = newClient(settings);
    this.control = new ControlClient(client, settings.controlTimeoutMs());
  }

  @Override
  public ReportResult report(String address) {
    return control.report(address);
  }

  @Override
  public OrderResult order(String address, MemberOrder order) {
    return control.order(address, order);
  }

  @Override
  public Outcome send(String address, EngineRequest request, ResponseSink sink) {
    HttpUriRequestBase call = prepare(address, request);
    try {
      HttpClientContext context = HttpClientContext.create();
      ProgressRequestExecutor.setProgressTimeout(context, request.progressMs());
      return client.execute(
          call, context, response -> readResponse(address, call, request, response, sink));
    } catch (HttpHostConnectException
        | ConnectTimeoutException
        | ConnectionRequestTimeoutException unreachable) {
      return new Outcome.NotRun(ResultCode.UPSTREAM_REFUSED, "no connection to " + address);
    } catch (SocketTimeoutException silent) {
      LogEvent.CONNECTION_SILENT.log(LOGGER, address, request.firstByteMs());
      return new Outcome.Unknown(ResultCode.UPSTREAM_TIMEOUT, "no answer from " + address);
    } catch (IOException broken) {
      return new Outcome.Unknown(ResultCode.UPSTREAM_LOST, address + ": " + broken.getMessage());
    }
  }

  @Override
  public void close() throws IOException {
    client.close();
  }

  private Outcome readResponse(
      String address,
      HttpUriRequestBase call,
      EngineRequest request,
      ClassicHttpResponse response,
      ResponseSink sink) {
    Outcome outcome = evaluateResponse(address, request, response, sink);
    if (outcome.code() != ResultCode.OK && outcome.runState() != RunState.NOT_RUN) {
      call.abort();
    }
    if (outcome.code() == ResultCode.CANCELLED) {
      control.cancel(address, request.id());
    }
    return outcome;
  }

  private Outcome evaluateResponse(
      String address, EngineRequest request, ClassicHttpResponse response, ResponseSink sink) {
    if (isNotRun(response) && !isGlued(response)) {
      return new Outcome.NotRun(ResultCode.UPSTREAM_REFUSED, address + " refused");
    }
    Header echoed = response.getFirstHeader(EngineHeaders.REQUEST);
    if (echoed == null || !echoed.getValue().equals(request.id().value())) {
      return new Outcome.Unknown(ResultCode.ANSWER_MISMATCH, address + " answered another request");
    }
    if (isGlued(response)) {
      return new Outcome.Unknown(ResultCode.ANSWER_MISMATCH, address + " mixed two answers");
    }
    if (response.getCode() >= MIN_SERVER_ERROR_STATUS) {
      return new Outcome.Ran(
          ResultCode.UPSTREAM_ERROR, address + " answered " + response.getCode());
    }
    try {
      sink.begin(response.getCode(), contentType(response));
      InputStream body = bodyOf(response);
      return request.streamed() && response.getCode() == HttpStatus.SC_OK
          ? copyEvents(address, request, body, sink)
          : copyBody(body, sink);
    } catch (CallerDisconnectedException gone) {
      return new Outcome.Unknown(ResultCode.CANCELLED, "caller left");
    } catch (SocketTimeoutException stalled) {
      LogEvent.CONNECTION_SILENT.log(LOGGER, address, request.progressMs());
      return new Outcome.Unknown(ResultCode.UPSTREAM_TIMEOUT, address + " stalled");
    } catch (IOException broken) {
      return new Outcome.Unknown(ResultCode.ANSWER_TRUNCATED, address + " broke off");
    }
  }

  private static Outcome copyEvents(
      String address, EngineRequest request, InputStream body, ResponseSink sink)
      throws IOException, CallerDisconnectedException {
    EventStreamReader events = new EventStreamReader(body);
    EventStreamValidator validator = new EventStreamValidator(request.id(), request.resumeOffset());
    byte[] event = events.next();
    while (event != null) {
      switch (validator.validate(EventStreamReader.data(event))) {
        case NEXT_EVENT -> sink.part(event);
        case END -> {
          sink.part(event);
          return new Outcome.Ran(ResultCode.OK, address);
        }
        case OTHER_REQUEST -> {
          return new Outcome.Unknown(ResultCode.ANSWER_MISMATCH, address + " crossed answers");
        }
        case BROKEN -> {
          return new Outcome.Unknown(ResultCode.ANSWER_TRUNCATED, address + " skipped a part");
        }
      }
      event = events.next();
    }
    return new Outcome.Unknown(ResultCode.ANSWER_TRUNCATED, address + " sent no end marker");
  }

  private static Outcome copyBody(InputStream body, ResponseSink sink)
      throws IOException, CallerDisconnectedException {
    byte[] chunk = body.readNBytes(CHUNK_BYTES);
    while (chunk.length > 0) {
      sink.part(chunk);
      chunk = body.readNBytes(CHUNK_BYTES);
    }
    return new Outcome.Ran(ResultCode.OK, "");
  }

  private HttpUriRequestBase prepare(String address, EngineRequest request) {
    HttpUriRequestBase call =
        new HttpUriRequestBase(request.method(), URI.create("http://" + address + request.path()));
    call.setHeader(EngineHeaders.REQUEST, request.id().value());
    call.setHeader(EngineHeaders.DEADLINE_MS, request.deadlineMs());
    call.setHeader(EngineHeaders.PRIORITY, request.priority());
    if (request.resumeOffset() > 0) {
      call.setHeader(EngineHeaders.RESUME, request.resumeOffset());
    }
    if (request.body().length > 0) {
      call.setEntity(
          new ByteArrayEntity(request.body(), ContentType.parseLenient(request.contentType())));
    }
    long responseMs = Math.min(request.firstByteMs(), request.deadlineMs());
    call.setConfig(
        RequestConfig.custom()
            .setConnectionRequestTimeout(Timeout.ofMilliseconds(settings.connectTimeoutMs()))
            .setResponseTimeout(Timeout.ofMilliseconds(Math.max(1, responseMs)))
            .build());
    return call;
  }

  private static boolean isNotRun(ClassicHttpResponse response) {
    Header header = response.getFirstHeader(EngineHeaders.NOT_RUN);
    return response.getCode() == HttpStatus.SC_SERVICE_UNAVAILABLE
        && header != null
        && header.getValue().equals("true");
  }

  /** Whether another response's status line stands within the head. */
  private static boolean isGlued(ClassicHttpResponse response) {
    String reason = response.getReasonPhrase();
    return (reason != null && StatusLines.isIn(reason))
        || Arrays.stream(response.getHeaders())
            .anyMatch(header -> header.getValue() != null && StatusLines.isIn(header.getValue()));
  }

  private static String contentType(ClassicHttpResponse response) {
    @Nullable HttpEntity entity = response.getEntity();
    String type = entity == null ? null : entity.getContentType();
    return type == null ? "application/octet-stream" : type;
  }

  private static InputStream bodyOf(ClassicHttpResponse response) throws IOException {
    @Nullable HttpEntity entity = response.getEntity();
    return entity == null ? InputStream.nullInputStream() : entity.getContent();
  }

  private static CloseableHttpClient newClient(EngineSettings settings) {
    ConnectionConfig connection =
        ConnectionConfig.custom()
            .setConnectTimeout(Timeout.ofMilliseconds(settings.connectTimeoutMs()))
            .setTimeToLive(settings.connectionTtlMs(), TimeUnit.MILLISECONDS)
            .build();
    return HttpClients.custom()
        .setConnectionManager(
            PoolingHttpClientConnectionManagerBuilder.create()
                .setConnectionFactory(
                    ManagedHttpClientConnectionFactory.builder()
                        .responseParserFactory(CompleteHeadParser::new)
                        .build())
                .setDefaultConnectionConfig(connection)
                .setDefaultSocketConfig(SocketConfig.custom().setTcpNoDelay(true).build())
                .setMaxConnPerRoute(settings.maxConnectionsPerUpstream())
                .setMaxConnTotal(settings.maxConnections())
                .build())
        .setRequestExecutor(new ProgressRequestExecutor())
        .disableAutomaticRetries()
        .disableRedirectHandling()
        .disableContentCompression()
        .disableCookieManagement()
        .disableAuthCaching()
        .build();
  }
}
