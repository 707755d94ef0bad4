package org.limpetring.daemon.caller;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.limpetring.base.Outcome;
import org.limpetring.base.ResultCode;
import org.limpetring.engine.EnginePort;
import org.limpetring.engine.EngineRequest;
import org.limpetring.engine.ResponseSink;
import org.limpetring.groups.MemberOrder;
import org.limpetring.groups.OrderResult;
import org.limpetring.groups.ReportResult;

/** Engine port whose tries end as scripted; records the resume offset of each try. */
final class ScriptedEngine implements EnginePort {

  /**
   * Scripted outcome of one try.
   *
   * @param events events that the try delivers before it ends
   * @param eventBytes length of each event in bytes, or 0 for the default event
   */
  record Try(int events, int eventBytes, Outcome outcome) {}

  private final Deque<Try> script;
  private final List<Integer> resumeOffsets = new ArrayList<>();

  ScriptedEngine(List<Try> script) {
    this.script = new ArrayDeque<>(script);
  }

  /** Resume offsets of the tries so far. */
  List<Integer> resumeOffsets() {
    return resumeOffsets;
  }

  @Override
  public Outcome send(String address, EngineRequest request, ResponseSink sink) {
    resumeOffsets.add(request.resumeOffset());
    Try next = script.removeFirst();
    if (next.outcome() instanceof Outcome.NotRun) {
      return next.outcome();
    }
    try {
      sink.begin(200, "text/event-stream");
      for (int event = 0; event < next.events(); event++) {
        int index = request.resumeOffset() + event;
        byte[] usual = ("data: " + index + "\n\n").getBytes(StandardCharsets.UTF_8);
        sink.part(next.eventBytes() == 0 ? usual : new byte[next.eventBytes()]);
      }
      if (next.outcome().code() == ResultCode.OK && request.streamed()) {
        sink.part("data: [DONE]\n\n".getBytes(StandardCharsets.UTF_8));
      }
      return next.outcome();
    } catch (ResponseSink.CallerDisconnectedException gone) {
      return new Outcome.Unknown(ResultCode.CANCELLED, "caller left");
    }
  }

  @Override
  public ReportResult report(String address) {
    return new ReportResult.Missing("not scripted");
  }

  @Override
  public OrderResult order(String address, MemberOrder order) {
    return new OrderResult.Unknown("not scripted");
  }
}
