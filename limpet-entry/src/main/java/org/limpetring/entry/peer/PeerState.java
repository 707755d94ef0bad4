package org.limpetring.entry.peer;

import com.google.protobuf.CodedInputStream;
import com.google.protobuf.CodedOutputStream;
import com.google.protobuf.WireFormat;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Datagram in which a daemon tells the others of itself, in the protobuf wire format.
 *
 * @param sequence grows with each datagram of one life
 * @param term the planner's term as the sender knows it
 * @param isPlanner whether the sender plans
 * @param isStoreUnreachable whether the sender plans but can't reach the store
 * @param isStopping whether the sender is about to end
 * @param revisions per kind, the store's revision of the newest object that the sender knows
 * @param loads requests in progress by place
 * @param fleet what the planner gathered from all daemons; null from others
 * @param openedEndpoints places whose groups the sender, as planner, has lately seen open
 * @param endedEndpoints places whose groups the sender, as planner, has lately taken apart
 */
public record PeerState(
    String name,
    String failureDomain,
    long sequence,
    long term,
    boolean isPlanner,
    boolean isStoreUnreachable,
    boolean isStopping,
    List<Long> revisions,
    List<Load> loads,
    List<String> openedEndpoints,
    List<String> endedEndpoints,
    @Nullable FleetLoad fleet) {

  /**
   * One place's load.
   *
   * @param endpointHash names the place; see {@link #endpointHash}
   */
  public record Load(int endpointHash, int inFlight, boolean isSuspected) {}

  /**
   * Load of all daemons together, which the planner gathers and tells, so that the number of
   * datagrams grows with the daemons and not with their square.
   *
   * @param daemons daemons that the planner heard lately, itself among them
   */
  public record FleetLoad(int daemons, List<Load> loads) {

    /** Copies the list. */
    public FleetLoad {
      loads = List.copyOf(loads);
    }
  }

  /** Short name of a place on the wire; two places that share it only share a guess at load. */
  public static int endpointHash(String placeKey) {
    return placeKey.hashCode();
  }

  private static final int NAME = 1;
  private static final int FAILURE_DOMAIN = 2;
  private static final int SEQUENCE = 3;
  private static final int TERM = 4;
  private static final int IS_PLANNER = 5;
  private static final int IS_STOPPING = 6;
  private static final int LOAD = 7;
  private static final int ENDED_PLACE = 8;
  private static final int REVISION = 9;
  private static final int OPENED_PLACE = 10;
  private static final int FLEET_DAEMONS = 11;
  private static final int FLEET_LOAD = 12;
  private static final int IS_STUCK = 13;
  private static final int LOAD_PLACE = 1;
  private static final int LOAD_IN_FLIGHT = 2;
  private static final int LOAD_SUSPECTED = 3;

  /** Copies the lists. */
  public PeerState {
    revisions = List.copyOf(revisions);
    loads = List.copyOf(loads);
    openedEndpoints = List.copyOf(openedEndpoints);
    endedEndpoints = List.copyOf(endedEndpoints);
  }

  /** The datagram's bytes. */
  public byte[] encode() {
    try {
      ByteArrayOutputStream bytes = new ByteArrayOutputStream(256);
      CodedOutputStream out = CodedOutputStream.newInstance(bytes);
      out.writeString(NAME, name);
      out.writeString(FAILURE_DOMAIN, failureDomain);
      out.writeInt64(SEQUENCE, sequence);
      out.writeInt64(TERM, term);
      out.writeBool(IS_PLANNER, isPlanner);
      out.writeBool(IS_STUCK, isStoreUnreachable);
      out.writeBool(IS_STOPPING, isStopping);
      for (Load load : loads) {
        out.writeByteArray(LOAD, encode(load));
      }
      for (long revision : revisions) {
        out.writeInt64(REVISION, revision);
      }
      for (String opened : openedEndpoints) {
        out.writeString(OPENED_PLACE, opened);
      }
      for (String ended : endedEndpoints) {
        out.writeString(ENDED_PLACE, ended);
      }
      if (fleet != null) {
        out.writeInt32(FLEET_DAEMONS, fleet.daemons());
        for (Load load : fleet.loads()) {
          out.writeByteArray(FLEET_LOAD, encode(load));
        }
      }
      out.flush();
      return bytes.toByteArray();
    } catch (IOException failure) {
      throw new IllegalStateException("memory can always be written", failure);
    }
  }

  private static byte[] encode(Load load) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream(16);
    CodedOutputStream out = CodedOutputStream.newInstance(bytes);
    out.writeFixed32(LOAD_PLACE, load.endpointHash());
    out.writeInt32(LOAD_IN_FLIGHT, load.inFlight());
    out.writeBool(LOAD_SUSPECTED, load.isSuspected());
    out.flush();
    return bytes.toByteArray();
  }

  /**
   * Decodes a datagram.
   *
   * @throws IOException if the bytes are no such message
   */
  public static PeerState decode(byte[] bytes) throws IOException {
    CodedInputStream in = CodedInputStream.newInstance(bytes);
    String name = "";
    String failureDomain = "";
    long sequence = 0;
    long term = 0;
    boolean isPlanner = false;
    boolean isStoreUnreachable = false;
    boolean isStopping = false;
    List<Load> loads = new ArrayList<>();
    List<String> endedEndpoints = new ArrayList<>();
    List<String> openedEndpoints = new ArrayList<>();
    List<Long> revisions = new ArrayList<>();
    int fleetDaemons = 0;
    List<Load> fleetLoads = new ArrayList<>();
    for (int tag = in.readTag(); tag != 0; tag = in.readTag()) {
      switch (WireFormat.getTagFieldNumber(tag)) {
        case NAME -> name = in.readString();
        case FAILURE_DOMAIN -> failureDomain = in.readString();
        case SEQUENCE -> sequence = in.readInt64();
        case TERM -> term = in.readInt64();
        case IS_PLANNER -> isPlanner = in.readBool();
        case IS_STUCK -> isStoreUnreachable = in.readBool();
        case IS_STOPPING -> isStopping = in.readBool();
        case LOAD -> loads.add(decodeLoad(in.readByteArray()));
        case REVISION -> revisions.add(in.readInt64());
        case OPENED_PLACE -> openedEndpoints.add(in.readString());
        case ENDED_PLACE -> endedEndpoints.add(in.readString());
        case FLEET_DAEMONS -> fleetDaemons = in.readInt32();
        case FLEET_LOAD -> fleetLoads.add(decodeLoad(in.readByteArray()));
        default -> in.skipField(tag);
      }
    }
    if (name.isEmpty()) {
      throw new IOException("no name");
    }
    return new PeerState(
        name,
        failureDomain,
        sequence,
        term,
        isPlanner,
        isStoreUnreachable,
        isStopping,
        revisions,
        loads,
        openedEndpoints,
        endedEndpoints,
        fleetDaemons > 0 ? new FleetLoad(fleetDaemons, fleetLoads) : null);
  }

  private static Load decodeLoad(byte[] bytes) throws IOException {
    CodedInputStream in = CodedInputStream.newInstance(bytes);
    int endpointHash = 0;
    int inFlight = 0;
    boolean isSuspected = false;
    for (int tag = in.readTag(); tag != 0; tag = in.readTag()) {
      switch (WireFormat.getTagFieldNumber(tag)) {
        case LOAD_PLACE -> endpointHash = in.readFixed32();
        case LOAD_IN_FLIGHT -> inFlight = in.readInt32();
        case LOAD_SUSPECTED -> isSuspected = in.readBool();
        default -> in.skipField(tag);
      }
    }
    return new Load(endpointHash, Math.max(0, inFlight), isSuspected);
  }
}
