package org.limpetring.entry.net;

import static com.google.common.truth.Truth.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import java.nio.charset.StandardCharsets;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

final class EventSplitterTest {

  private static final String STREAM =
      "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nx-versions: 3\nid: 3\ndata: c\ndata: d\n\n";

  private final EventSplitter splitter = new EventSplitter(UnpooledByteBufAllocator.DEFAULT);

  private String feed(String text) {
    ByteBuf events =
        splitter.feed(Unpooled.wrappedBuffer(text.getBytes(StandardCharsets.US_ASCII)));
    return events == null ? "" : events.toString(StandardCharsets.US_ASCII);
  }

  /** The complete events are passed on unchanged for any fragmentation of the stream. */
  @Property(tries = 300)
  void passesSameBytesForAnyFragmentation(
      @ForAll List<@IntRange(min = 1, max = 9) Integer> fragmentSizes) {
    EventSplitter fresh = new EventSplitter(UnpooledByteBufAllocator.DEFAULT);
    StringBuilder passed = new StringBuilder();
    int at = 0;
    for (int i = 0; at < STREAM.length(); i++) {
      int size = i < fragmentSizes.size() ? fragmentSizes.get(i) : STREAM.length();
      int end = Math.min(STREAM.length(), at + size);
      ByteBuf events =
          fresh.feed(
              Unpooled.wrappedBuffer(
                  STREAM.substring(at, end).getBytes(StandardCharsets.US_ASCII)));
      if (events != null) {
        passed.append(events.toString(StandardCharsets.US_ASCII));
      }
      at = end;
    }
    assertThat(passed.toString()).isEqualTo(STREAM);
    assertThat(fresh.lastId()).isEqualTo("3");
    assertThat(fresh.eventCount()).isEqualTo(3);
    assertThat(fresh.isAtBoundary()).isTrue();
  }

  /** After a break, only events that go on after the last one belong to the stream. */
  @Test
  void resumedRunMustContinueAfterLastEvent() {
    feed("id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    splitter.resume();
    assertThat(feed("id: 3\ndata: c\n\nHTTP/1.1 500 Failed\r\n\r\n"))
        .isEqualTo("id: 3\ndata: c\n\n");
    assertThat(splitter.isOutOfOrder()).isTrue();
    splitter.resume();
    assertThat(splitter.isOutOfOrder()).isFalse();
    assertThat(feed("id: 3\ndata: c\n\n")).isEmpty();
    assertThat(splitter.isOutOfOrder()).isTrue();
    assertThat(splitter.lastId()).isEqualTo("3");
  }

  @Test
  void withholdsIncompleteEventAndIgnoresItsId() {
    assertThat(feed("id: 1\ndata: a\n\nid: 2\ndata: b")).isEqualTo("id: 1\ndata: a\n\n");
    assertThat(splitter.lastId()).isEqualTo("1");
    assertThat(splitter.isAtBoundary()).isFalse();
    splitter.dropPartial();
    assertThat(feed("id: 2\ndata: again\n\n")).isEqualTo("id: 2\ndata: again\n\n");
    assertThat(splitter.lastId()).isEqualTo("2");
  }
}
