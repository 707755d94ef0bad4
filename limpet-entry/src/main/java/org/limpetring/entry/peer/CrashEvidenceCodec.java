package org.limpetring.entry.peer;

import com.google.protobuf.CodedInputStream;
import com.google.protobuf.CodedOutputStream;
import com.google.protobuf.WireFormat;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.limpetring.entry.poison.CrashEvidence;

/** Encodes and decodes the parts of crash evidence in the protobuf wire format. */
final class CrashEvidenceCodec {

  private static final int INCARNATION = 1;
  private static final int TRAIT = 2;
  private static final int AGE_MS = 3;
  private static final int IS_CRASH = 4;

  private CrashEvidenceCodec() {}

  static byte[] encode(CrashEvidence.Interruption interruption) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream(128);
    CodedOutputStream out = CodedOutputStream.newInstance(bytes);
    out.writeString(INCARNATION, interruption.incarnation());
    for (String trait : interruption.traits()) {
      out.writeString(TRAIT, trait);
    }
    out.writeInt64(AGE_MS, interruption.ageMs());
    out.writeBool(IS_CRASH, interruption.isCrash());
    out.flush();
    return bytes.toByteArray();
  }

  static byte[] encode(CrashEvidence.Sighting sighting) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream(64);
    CodedOutputStream out = CodedOutputStream.newInstance(bytes);
    out.writeString(TRAIT, sighting.trait());
    out.writeInt64(AGE_MS, sighting.ageMs());
    out.flush();
    return bytes.toByteArray();
  }

  static CrashEvidence.Interruption decodeInterruption(byte[] bytes) throws IOException {
    CodedInputStream in = CodedInputStream.newInstance(bytes);
    String incarnation = "";
    List<String> traits = new ArrayList<>();
    long ageMs = 0;
    boolean isCrash = false;
    for (int tag = in.readTag(); tag != 0; tag = in.readTag()) {
      switch (WireFormat.getTagFieldNumber(tag)) {
        case INCARNATION -> incarnation = in.readString();
        case TRAIT -> traits.add(in.readString());
        case AGE_MS -> ageMs = in.readInt64();
        case IS_CRASH -> isCrash = in.readBool();
        default -> in.skipField(tag);
      }
    }
    if (traits.isEmpty()) {
      throw new IOException("interruption without traits");
    }
    return new CrashEvidence.Interruption(incarnation, traits, Math.max(0, ageMs), isCrash);
  }

  static CrashEvidence.Sighting decodeSighting(byte[] bytes) throws IOException {
    CodedInputStream in = CodedInputStream.newInstance(bytes);
    String trait = "";
    long ageMs = 0;
    for (int tag = in.readTag(); tag != 0; tag = in.readTag()) {
      switch (WireFormat.getTagFieldNumber(tag)) {
        case TRAIT -> trait = in.readString();
        case AGE_MS -> ageMs = in.readInt64();
        default -> in.skipField(tag);
      }
    }
    return new CrashEvidence.Sighting(trait, Math.max(0, ageMs));
  }
}
