import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Timer;
import java.util.TimerTask;

/**
 * Stand-ins for model runners that form groups (PROTOCOL.md, "Requests"). On demand, half of the
 * heads answer with bytes that are no events and have no end.
 */
final class EngineFleet {

  static final String SERVICE = "advisor-llm";
  static final String MODEL = "m0";
  static final int SIZE = 2;

  private static final int SLOTS = 18;
  private static final long LOAD_MS = 1_000;
  private static final long WARM_MS = 600;
  private static final long SAME_MODEL_MS = 200;
  private static final long FORM_MS = 300;
  private static final long STALL_MS = 5_000;
  private static final int EVENTS = 5;
  private static final long EVENT_GAP_MS = 40;

  /** Bytes a second of an answer without end. */
  private static final int ENDLESS_BYTES_PER_S = 200_000;

  private static final int ENDLESS_INTERVAL_MS = 50;

  /** Whether the faulty half of the runners answers without end. */
  volatile boolean isEndless;

  private final Trial trial;
  private final Store store;
  private final Map<String, Engine> engines = new LinkedHashMap<>();
  private final Timer timer = new Timer("engines", true);
  private int started;

  EngineFleet(Trial trial, Store store) {
    this.trial = trial;
    this.store = store;
  }

  /** The service's part of the configuration. */
  static Map<String, Object> service() {
    Map<String, Object> service = Deployment.plainService(SERVICE);
    service.put("max_conns", 474);
    service.put(
        "engine",
        Json.object(
            "slots", SLOTS, "step_ms", 5.95, "per_seq_ms", 0.0445, "context_per_k", 0.00813, "read_per_s", 50_700,
            "pairs_per_m", 0.368, "stride", 7, "chunk", 2_048, "kv_tokens", 1_100_769, "report_lag_ms", 200,
            "loads_per_s", 4.5, "loads_at_once", 6, "form_ms", FORM_MS,
            "usual", Json.object("prompt", 1_000, "answer", 200),
            "models",
            List.of(
                Json.object(
                    "name", MODEL, "size", SIZE, "pace", 1.0, "share", 1.0,
                    "load_s", LOAD_MS / 1_000.0, "warm_s", WARM_MS / 1_000.0))));
    return service;
  }

  private static final class Group {
    final String name;
    final long epoch;
    final List<Object> members;

    Group(String name, long epoch, List<Object> members) {
      this.name = name;
      this.epoch = epoch;
      this.members = members;
    }

    boolean is(String otherName, long otherEpoch) {
      return name.equals(otherName) && epoch == otherEpoch;
    }

    @Override
    public String toString() {
      return name + "/" + epoch;
    }
  }

  /** One runner; all its state is guarded by the fleet. */
  private final class Engine {
    final String id;
    final PlainRunner server;
    final boolean isFaulty;
    final long born = System.currentTimeMillis();
    boolean isBusy;
    String staged;
    String lastModel;
    Group group;
    String state = "";
    long maxEpoch;
    int sequence;
    int running;

    Engine(String id, boolean isFaulty) throws IOException {
      this.id = id;
      this.isFaulty = isFaulty;
      this.server = new PlainRunner(id, 0, this::serve);
    }

    void register() {
      store.put("servers", id, entry());
    }

    Map<String, Object> entry() {
      Map<String, Object> entry =
          Deployment.entry(SERVICE, server.address(), SLOTS, "ready", born);
      entry.putAll(report());
      return entry;
    }

    Map<String, Object> report() {
      Map<String, Object> report = new LinkedHashMap<>();
      report.put("stage", "both");
      report.put("domain", "fabric-1");
      report.put("busy", isBusy);
      report.put("staged", staged == null ? List.of() : List.of(staged));
      report.put(
          "models",
          group == null ? List.of() : List.of(Json.object("name", MODEL, "version", 1, "adapters", List.of())));
      report.put("sequence", sequence);
      report.put("born", born);
      if (group != null) {
        report.put(
            "group",
            Json.object("name", group.name, "epoch", group.epoch, "rank", group.members.indexOf(id), "state", state));
      }
      return report;
    }

    void setState(String next) {
      state = next;
      register();
    }

    int order(Map<String, Object> order) {
      String op = (String) order.get("op");
      String name = (String) order.get("group");
      long epoch = order.get("epoch") == null ? 0 : (Long) order.get("epoch");
      boolean isOwnGroup = group != null && name != null && group.is(name, epoch);
      switch (op) {
        case "stage" -> {
          return stage((String) order.get("model"));
        }
        case "join" -> {
          @SuppressWarnings("unchecked")
          List<Object> members = (List<Object>) order.get("members");
          return join(new Group(name, epoch, members), (String) order.get("model"));
        }
        case "open" -> {
          if (!isOwnGroup || !group.members.get(0).equals(id)) {
            return 409;
          }
          if (state.equals("open")) {
            return 200;
          }
          if (!state.equals("ready")) {
            return 409;
          }
          sequence++;
          Group opened = group;
          later(FORM_MS, () -> {
            if (group == opened && state.equals("ready")) {
              setState("open");
              trial.note("runner %s: head of %s is open", id, group);
              checkMembers(opened);
            }
          });
          return 202;
        }
        case "close" -> {
          if (!isOwnGroup) {
            return 409;
          }
          if (!state.equals("open")) {
            return state.equals("ready") ? 200 : 409;
          }
          sequence++;
          setState(running == 0 ? "ready" : "closing");
          return 202;
        }
        case "leave" -> {
          if (!isOwnGroup) {
            return 409;
          }
          sequence++;
          trial.note("runner %s: leaves %s", id, group);
          leaveGroup();
          register();
          return 200;
        }
        default -> {
          return 400;
        }
      }
    }

    private int stage(String model) {
      if (model.equals(staged)) {
        return 200;
      }
      if (isBusy) {
        return 409;
      }
      sequence++;
      isBusy = true;
      register();
      later(LOAD_MS, () -> {
        isBusy = false;
        staged = model;
        register();
      });
      return 202;
    }

    private int join(Group joined, String model) {
      boolean isSameName = group != null && group.is(joined.name, joined.epoch);
      if (joined.epoch < maxEpoch || (isSameName && !group.members.equals(joined.members))) {
        return 412;
      }
      if (isSameName) {
        return 200;
      }
      sequence++;
      maxEpoch = joined.epoch;
      leaveGroup();
      group = joined;
      long joinMs = model.equals(lastModel) ? SAME_MODEL_MS : model.equals(staged) ? WARM_MS : LOAD_MS;
      lastModel = model;
      setState("joining");
      later(joinMs, () -> {
        if (group == joined) {
          staged = model;
          setState("ready");
        }
      });
      return 202;
    }

    private void leaveGroup() {
      Group left = group;
      group = null;
      state = "";
      if (left != null) {
        checkMembers(left);
      }
    }

    private void serve(Socket socket, InputStream in, OutputStream out) throws Exception {
      for (Http request = Http.read(in); request != null; request = Http.read(in)) {
        String expected = request.header("X-Limpetring-Expect-Instance");
        if (!expected.isEmpty() && !expected.equals(id)) {
          answer(out, 421, "X-Limpetring-Not-Executed: 1\r\n", "");
        } else if (request.startLine.startsWith("GET /api/report")) {
          String body;
          synchronized (EngineFleet.this) {
            body = Json.write(report());
          }
          answer(out, 200, "", body);
        } else if (request.startLine.startsWith("POST /api/order")) {
          int status;
          synchronized (EngineFleet.this) {
            status = order(Json.object(Json.parse(request.text())));
          }
          answer(out, status, "", "{}");
        } else {
          run(request, out);
        }
      }
    }

    private void run(Http request, OutputStream out) throws Exception {
      String requestId = request.header("X-Limpetring-Request-Id");
      String echo = "X-Limpetring-Request-Id: " + requestId + "\r\n";
      synchronized (EngineFleet.this) {
        boolean isHead = group != null && group.members.get(0).equals(id);
        if (!isHead || !state.equals("open")) {
          answer(out, isHead ? 503 : 421, echo + "X-Limpetring-Not-Executed: 1\r\nAt-Server: " + id + "\r\n", "");
          return;
        }
        running++;
      }
      try {
        out.write(
            PlainRunner.bytes(
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + echo
                    + "X-Limpetring-Server-Seal: seal-" + requestId + "\r\nTransfer-Encoding: chunked\r\n\r\n"));
        if (isEndless && isFaulty) {
          writeWithoutEnd(out);
        }
        String last = request.header("Last-Event-Id");
        for (int event = last.isEmpty() ? 1 : Integer.parseInt(last) + 1; event <= EVENTS; event++) {
          Thread.sleep(EVENT_GAP_MS);
          String text = "id: " + event + "\ndata: words\n\n";
          out.write(PlainRunner.bytes(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n"));
        }
        out.write(PlainRunner.bytes("0\r\n\r\n"));
      } finally {
        synchronized (EngineFleet.this) {
          running--;
          if (running == 0 && state.equals("closing")) {
            setState("ready");
          }
        }
      }
    }

    private static void writeWithoutEnd(OutputStream out) throws Exception {
      byte[] block = new byte[ENDLESS_BYTES_PER_S * ENDLESS_INTERVAL_MS / 1_000];
      Arrays.fill(block, (byte) 'x');
      while (true) {
        out.write(PlainRunner.bytes(Integer.toHexString(block.length) + "\r\n"));
        out.write(block);
        out.write(PlainRunner.bytes("\r\n"));
        Thread.sleep(ENDLESS_INTERVAL_MS);
      }
    }

    private static void answer(OutputStream out, int status, String headers, String body) throws IOException {
      out.write(
          PlainRunner.bytes("HTTP/1.1 " + status + " X\r\n" + headers + "Content-Length: " + body.length() + "\r\n\r\n" + body));
    }
  }

  private void later(long delayMs, Runnable task) {
    timer.schedule(
        new TimerTask() {
          @Override
          public void run() {
            synchronized (EngineFleet.this) {
              task.run();
            }
          }
        },
        delayMs);
  }

  /** A head that lost a member is broken after the stall time. */
  private void checkMembers(Group group) {
    Engine head = engines.get((String) group.members.get(0));
    if (head == null || head.group == null || !head.group.is(group.name, group.epoch) || !head.state.equals("open")) {
      return;
    }
    boolean isWhole = true;
    for (Object id : group.members) {
      Engine member = engines.get((String) id);
      isWhole = isWhole && member != null && member.group != null && member.group.is(group.name, group.epoch);
    }
    if (!isWhole) {
      later(STALL_MS, () -> {
        if (head.group != null && head.group.is(group.name, group.epoch) && head.state.equals("open")) {
          head.setState("broken");
        }
      });
    }
  }

  /** Starts a runner; returns its id. */
  synchronized String start(boolean isStaged) throws IOException {
    String id = "i-llm-" + (100 + ++started);
    Engine engine = new Engine(id, started % 4 < 2);
    engine.staged = isStaged ? MODEL : null;
    engines.put(id, engine);
    engine.register();
    return id;
  }

  /** Number of heads that are open, of all runners or of the faulty ones alone. */
  synchronized int openHeads(boolean isFaultyOnly) {
    int open = 0;
    for (Engine engine : engines.values()) {
      open += engine.state.equals("open") && (engine.isFaulty || !isFaultyOnly) ? 1 : 0;
    }
    return open;
  }
}
