package org.limpetring.entry.peer;

import com.google.protobuf.CodedInputStream;
import com.google.protobuf.CodedOutputStream;
import com.google.protobuf.WireFormat;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import org.limpetring.entry.balancing.PaceStatement;
import org.limpetring.entry.balancing.TeamDemand;

/** Wire format of the demands of teams and of the levels of upstreams in a {@link PeerState}. */
final class ShareCodec {

  private static final int TEAM = 1;
  private static final int TEAM_POOL = 2;
  private static final int TEAM_OFFERED = 3;
  private static final int TEAM_ADMITTED = 4;
  private static final int PACE_ENDPOINT = 1;
  private static final int PACE_LEVEL = 2;
  private static final int PACE_AGE_MS = 3;
  private static final int PACE_EPOCH = 4;

  private ShareCodec() {}

  static byte[] encode(TeamDemand demand) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream(24);
    CodedOutputStream out = CodedOutputStream.newInstance(bytes);
    out.writeFixed32(TEAM, demand.team());
    out.writeFixed32(TEAM_POOL, demand.pool());
    out.writeInt32(TEAM_OFFERED, demand.offeredPerMinute());
    out.writeInt32(TEAM_ADMITTED, demand.admittedPerMinute());
    out.flush();
    return bytes.toByteArray();
  }

  static TeamDemand decodeTeamDemand(byte[] bytes) throws IOException {
    CodedInputStream in = CodedInputStream.newInstance(bytes);
    int team = 0;
    int pool = 0;
    int offered = 0;
    int admitted = 0;
    for (int tag = in.readTag(); tag != 0; tag = in.readTag()) {
      switch (WireFormat.getTagFieldNumber(tag)) {
        case TEAM -> team = in.readFixed32();
        case TEAM_POOL -> pool = in.readFixed32();
        case TEAM_OFFERED -> offered = in.readInt32();
        case TEAM_ADMITTED -> admitted = in.readInt32();
        default -> in.skipField(tag);
      }
    }
    return new TeamDemand(team, pool, Math.max(0, offered), Math.max(0, admitted));
  }

  static byte[] encode(PaceStatement statement) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream(24);
    CodedOutputStream out = CodedOutputStream.newInstance(bytes);
    out.writeFixed32(PACE_ENDPOINT, statement.endpointHash());
    out.writeInt32(PACE_LEVEL, statement.level());
    out.writeInt64(PACE_AGE_MS, statement.ageMs());
    out.writeInt32(PACE_EPOCH, statement.epoch());
    out.flush();
    return bytes.toByteArray();
  }

  static PaceStatement decodePaceStatement(byte[] bytes) throws IOException {
    CodedInputStream in = CodedInputStream.newInstance(bytes);
    int endpointHash = 0;
    int epoch = 0;
    int level = 0;
    long ageMs = 0;
    for (int tag = in.readTag(); tag != 0; tag = in.readTag()) {
      switch (WireFormat.getTagFieldNumber(tag)) {
        case PACE_ENDPOINT -> endpointHash = in.readFixed32();
        case PACE_LEVEL -> level = in.readInt32();
        case PACE_AGE_MS -> ageMs = in.readInt64();
        case PACE_EPOCH -> epoch = in.readInt32();
        default -> in.skipField(tag);
      }
    }
    if (level < 1) {
      throw new IOException("statement on an upstream's pace without a level");
    }
    return new PaceStatement(endpointHash, Math.max(0, epoch), level, Math.max(0, ageMs));
  }
}
