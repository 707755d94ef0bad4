import java.util.Arrays;
import java.util.List;

/**
 * An answer without a length is reset on the way while the daemon still writes the request's long
 * body. The client must not get it as a complete success.
 */
final class ResetAnswer {

  private static final int REQUEST_BYTES = 4_194_304;
  private static final int ANSWER_BYTES = 800;
  private static final int SENT_BEFORE_RESET = 400;
  private static final int REQUESTS = 5;
  private static final int DEADLINE_MS = 3_000;

  private ResetAnswer() {}

  public static void main(String[] arguments) {
    Trial.main(arguments, ResetAnswer::run);
  }

  private static int run(Trial trial) throws Exception {
    Store store = new Store();
    byte[] answer = new byte[ANSWER_BYTES];
    Arrays.fill(answer, (byte) 'a');
    PlainRunner runner =
        new PlainRunner(
            "i-stores-1",
            8_192,
            (socket, in, out) -> {
              Http request = Http.readHead(in);
              String id = request.header("X-Limpetring-Request-Id");
              int length = Integer.parseInt(request.header("Content-Length"));
              trial.note("runner: %s begins to run, body of %d bytes", id, length);
              if (!trial.isTrouble) {
                in.readNBytes(length);
              }
              out.write(
                  PlainRunner.bytes(
                      "HTTP/1.1 200 OK\r\nX-Limpetring-Request-Id: " + id
                          + "\r\nX-Limpetring-Server-Seal: seal-" + id
                          + "\r\nConnection: close\r\n\r\n"));
              if (trial.isTrouble) {
                out.write(answer, 0, SENT_BEFORE_RESET);
                out.flush();
                Thread.sleep(150);
                socket.setSoLinger(true, 0);
                socket.close();
                trial.note("runner: %s: %d of %d bytes of the answer sent, then reset", id, SENT_BEFORE_RESET, ANSWER_BYTES);
              } else {
                out.write(answer);
                trial.note("runner: %s: whole answer of %d bytes sent, connection closed", id, ANSWER_BYTES);
              }
            });
    store.put(
        "config",
        "main",
        Deployment.config(
            1,
            List.of(Deployment.route("order", "non_idempotent", "stores", 1, DEADLINE_MS)),
            List.of(Deployment.plainService("stores"))));
    store.put("servers", runner.id, Deployment.entry("stores", runner.address(), 6, "ready", 1));
    DaemonProcess daemon = new DaemonProcess(trial.root, trial.directory, "front-1", 1, store.address(), true);
    daemon.start();
    if (!daemon.awaitReady(20_000)) {
      trial.note("the daemon did not become ready");
      return Trial.COULD_NOT_RUN;
    }
    int wrong = 0;
    int whole = 0;
    byte[] body = new byte[REQUEST_BYTES];
    for (int i = 0; i < REQUESTS; i++) {
      String id = Client.nextId("order");
      trial.note("client: sends %s, POST /order/new, %d bytes", id, body.length);
      try (Client client = new Client(daemon)) {
        Http got = client.call("POST", "/order/new", id, DEADLINE_MS, body);
        boolean isWhole = Arrays.equals(got.body, answer);
        boolean isSuccess = got.status() / 100 == 2;
        trial.note(
            "client: %s answered %d, seal '%s', Content-Length %s, %d bytes%s",
            id, got.status(), got.header("X-Limpetring-Server-Seal"), got.header("Content-Length"), got.body.length,
            isSuccess && !isWhole ? ": a complete success, but not the runner's whole body" : "");
        wrong += isSuccess && !isWhole ? 1 : 0;
        whole += isSuccess && isWhole ? 1 : 0;
      } catch (java.io.IOException cut) {
        trial.note("client: %s: %s", id, cut);
      }
    }
    trial.note("%d requests, %d whole answers, %d partial answers as complete successes", REQUESTS, whole, wrong);
    daemon.kill();
    store.close();
    if (wrong > 0) {
      return Trial.BROKEN;
    }
    return trial.isTrouble || whole == REQUESTS ? Trial.HELD : Trial.COULD_NOT_RUN;
  }
}
