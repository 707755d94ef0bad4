import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;

/**
 * One of two runners repeats three in a hundred of its answers late, on the kept connection, and
 * breaks the second copy off in its head. Its next answer on that connection is a failure of its
 * own; the client must not get it as a success.
 */
final class LateCopy {

  private static final int ROUNDS = 12;
  private static final int DEADLINE_MS = 1_500;

  /** Time after the answer at which the second copy arrives. */
  private static final int COPY_DELAY_MS = 30;

  private static final int PAUSE_MS = 150;

  /** Further reads in each round, so that less than three in a hundred answers are spoiled. */
  private static final int SOUND_READS = 32;

  /** The copy is broken off after this many bytes, and in each later round after as many more. */
  private static final int CUT_STEP_BYTES = 11;

  private static final String STOCK = "stock: 12 dressers\n";
  private static final String FAILURE = "stock database not reachable\n";

  private static final AtomicInteger COPIES = new AtomicInteger();
  private static final AtomicInteger ANSWERS = new AtomicInteger();

  /** The runner that is faulty: the one to which the daemon sends the first read. */
  private static final AtomicReference<String> FAULTY = new AtomicReference<>();

  private LateCopy() {}

  public static void main(String[] arguments) {
    Trial.main(arguments, LateCopy::run);
  }

  private static String head(String status, String id, int length) {
    return "HTTP/1.1 " + status
        + "\r\nContent-Type: application/octet-stream"
        + "\r\nX-Limpetring-Request-Id: " + id
        + "\r\nX-Limpetring-Server-Seal: seal-" + id
        + "\r\nContent-Length: " + length
        + "\r\nKeep-Alive: timeout=30\r\n\r\n";
  }

  private static void serve(Trial trial, String runner, Socket socket, InputStream in, OutputStream out)
      throws Exception {
    int served = 0;
    for (Http request = Http.read(in); request != null; request = Http.read(in)) {
      FAULTY.compareAndSet(null, runner);
      boolean isFaulty = runner.equals(FAULTY.get());
      String id = request.header("X-Limpetring-Request-Id");
      boolean isFailing = isFaulty && request.startLine.contains("/stock/failing");
      String head = isFailing ? head("500 Internal Server Error", id, FAILURE.length()) : head("200 OK", id, STOCK.length());
      out.write(PlainRunner.bytes(head + (isFailing ? FAILURE : STOCK)));
      out.flush();
      ANSWERS.incrementAndGet();
      boolean isSpoiled = isFaulty && trial.isTrouble && request.startLine.contains("/stock/level");
      if (!request.startLine.contains("/stock/sound")) {
        trial.note(
            "runner %s: %s answered %s, request %d of connection %d",
            runner, id, isFailing ? "500" : "200", ++served, socket.getPort());
      }
      if (isSpoiled) {
        Thread.sleep(COPY_DELAY_MS);
        String copy = head.substring(0, Math.min(head.length() - 4, CUT_STEP_BYTES * COPIES.incrementAndGet()));
        out.write(PlainRunner.bytes(copy));
        out.flush();
        trial.note("runner %s: second copy of the answer to %s, broken off after %d bytes", runner, id, copy.length());
      }
    }
  }

  private static int run(Trial trial) throws Exception {
    Store store = new Store();
    store.put(
        "config",
        "main",
        Deployment.config(
            1,
            List.of(Deployment.route("stock", "idempotent", "stores", 2, DEADLINE_MS)),
            List.of(Deployment.plainService("stores"))));
    for (int i = 1; i <= 2; i++) {
      String id = "i-stores-" + i;
      PlainRunner runner = new PlainRunner(id, 0, (socket, in, out) -> serve(trial, id, socket, in, out));
      store.put("servers", id, Deployment.entry("stores", runner.address(), 6, "ready", i));
    }
    DaemonProcess daemon = new DaemonProcess(trial.root, trial.directory, "front-1", 1, store.address(), true);
    daemon.start();
    if (!daemon.awaitReady(20_000)) {
      trial.note("the daemon did not become ready");
      return Trial.COULD_NOT_RUN;
    }
    int wrong = 0;
    int sound = 0;
    for (int round = 0; round < ROUNDS; round++) {
      try (Client client = new Client(daemon)) {
        for (int i = 0; i < SOUND_READS; i++) {
          client.call("GET", "/stock/sound", Client.nextId("read"), DEADLINE_MS, new byte[0]);
        }
        String first = Client.nextId("read");
        Http got = client.call("GET", "/stock/level", first, DEADLINE_MS, new byte[0]);
        trial.note("client: %s answered %d, '%s'", first, got.status(), got.text().trim());
        Thread.sleep(PAUSE_MS);
        String second = Client.nextId("read");
        got = client.call("GET", "/stock/failing", second, DEADLINE_MS, new byte[0]);
        boolean isSuccess = got.status() / 100 == 2;
        boolean isWrong = isSuccess && got.text().equals(FAILURE);
        trial.note(
            "client: %s answered %d, seal '%s', '%s'%s",
            second, got.status(), got.header("X-Limpetring-Server-Seal"), got.text().trim(),
            isWrong ? ": a success, where the runner answered with a failure" : "");
        wrong += isWrong ? 1 : 0;
        sound += isWrong ? 0 : 1;
      } catch (IOException cut) {
        trial.note("client: %s", cut);
      }
    }
    trial.note(
        "%d answers of runners, %d with extra bytes; %d of %d failures reached the client as successes",
        ANSWERS.get(), COPIES.get(), wrong, ROUNDS);
    daemon.kill();
    store.close();
    if (wrong > 0) {
      return Trial.BROKEN;
    }
    return trial.isTrouble || sound == ROUNDS ? Trial.HELD : Trial.COULD_NOT_RUN;
  }
}
