package org.limpetring.routing.poison;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.limpetring.base.FailureDomain;
import org.limpetring.base.GroupId;
import org.limpetring.base.HostId;
import org.limpetring.base.ManualClock;
import org.limpetring.base.PoolName;
import org.limpetring.groups.ServingGroup;

final class PoisonTrackerTest {

  private static final int DAEMONS = 5;
  private static final int SENDS = 60;
  private static final int REQUESTS = 4;

  private final ManualClock clock = new ManualClock(0);

  /** Callers send each request again and again, through any daemon; some crash every upstream. */
  @Property(tries = 1_000, seed = "6")
  void atMostTwoUpstreamsAreLostToOneRequest(@ForAll long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    List<PoisonTracker> books = books();
    int[] crashes = new int[REQUESTS];
    int[] answers = new int[REQUESTS];
    for (int send = 0; send < SENDS; send++) {
      int request = random.nextInt(REQUESTS);
      boolean isPoison = request % 2 == 0;
      PoisonTracker book = books.get(random.nextInt(DAEMONS));
      PoisonTracker.Verdict verdict = book.begin(fingerprint(request));
      if (verdict == PoisonTracker.Verdict.POISON) {
        assertWithMessage("refused").that(isPoison).isTrue();
        continue;
      }
      assertThat(verdict).isNotEqualTo(PoisonTracker.Verdict.WAIT);
      book.end(fingerprint(request));
      Optional<CrashNotice> notice;
      if (isPoison) {
        crashes[request]++;
        notice = Optional.of(book.recordCrash(fingerprint(request), group(send)));
      } else {
        answers[request]++;
        notice = book.recordSuccess(fingerprint(request));
      }
      notice.ifPresent(word -> spread(word, books, random));
    }
    for (int request = 0; request < REQUESTS; request++) {
      assertThat(crashes[request]).isAtMost(PoisonTracker.MAX_CRASHES);
    }
  }

  @Test
  void aHostThatDiesWithManyRequestsMakesNoneOfThemPoison() {
    List<PoisonTracker> books = books();
    ServingGroup lost = group(1);
    for (int request = 0; request < 100; request++) {
      CrashNotice notice = books.get(0).recordCrash(fingerprint(request), lost);
      books.get(1).merge(notice);
      assertThat(books.get(1).recordCrash(fingerprint(request), lost).lives()).hasSize(1);
      assertThat(books.get(1).begin(fingerprint(request)))
          .isEqualTo(PoisonTracker.Verdict.EXCLUSIVE);
      assertThat(books.get(1).begin(fingerprint(request))).isEqualTo(PoisonTracker.Verdict.WAIT);
      books.get(1).end(fingerprint(request));
      CrashNotice cleared = books.get(1).recordSuccess(fingerprint(request)).orElseThrow();
      assertThat(books.get(0).merge(cleared)).isTrue();
      assertThat(books.get(0).begin(fingerprint(request))).isEqualTo(PoisonTracker.Verdict.FREE);
    }
  }

  @Test
  void aCrashThatTheClearingDaemonDidNotKnowKeepsTheSuspicion() {
    List<PoisonTracker> books = books();
    Fingerprint request = fingerprint(0);
    CrashNotice first = books.get(0).recordCrash(request, group(1));
    books.get(1).merge(first);
    CrashNotice cleared = books.get(1).recordSuccess(request).orElseThrow();
    books.get(0).recordCrash(request, group(2));
    books.get(0).merge(cleared);
    assertThat(books.get(0).begin(request)).isEqualTo(PoisonTracker.Verdict.POISON);
  }

  /** Delivers in any order, some of it twice. */
  private static void spread(
      CrashNotice notice, List<PoisonTracker> books, SplittableRandom random) {
    for (PoisonTracker book : books) {
      book.merge(notice);
      if (random.nextInt(3) == 0) {
        books.get(random.nextInt(DAEMONS)).notices().forEach(book::merge);
      }
    }
  }

  private List<PoisonTracker> books() {
    List<PoisonTracker> books = new ArrayList<>();
    for (int daemon = 0; daemon < DAEMONS; daemon++) {
      books.add(new PoisonTracker(1_000, clock));
    }
    return books;
  }

  private static Fingerprint fingerprint(int request) {
    return Fingerprint.of(new PoolName("p"), "POST", "/v1", new byte[] {(byte) request});
  }

  private static ServingGroup group(int number) {
    return new ServingGroup(
        new GroupId("g" + number),
        new PoolName("p"),
        1,
        List.of(new HostId("h" + number)),
        "127.0.0.1:1",
        new FailureDomain("a"),
        "i",
        false,
        0);
  }
}
