package org.limpetring.entry.peer;

import com.google.protobuf.CodedInputStream;
import com.google.protobuf.CodedOutputStream;
import com.google.protobuf.WireFormat;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.limpetring.entry.balancing.LimitStatement;
import org.limpetring.entry.balancing.PaceStatement;
import org.limpetring.entry.balancing.TeamDemand;
import org.limpetring.entry.poison.CrashEvidence;
import org.limpetring.entry.port.StorePosition;

/**
 * Datagram in which a daemon announces its state to others, in the protobuf wire format.
 *
 * @param sequence increases with each datagram of one daemon incarnation
 * @param term the planner's term as known to the sender
 * @param isPlanner whether the sender is the planner
 * @param isStoreUnreachable whether the sender is the planner but can't reach the store
 * @param isStopping whether the sender is shutting down
 * @param positions per object kind, the store's position of the newest object known to the sender
 * @param loads requests in progress by endpoint
 * @param openedEndpoints endpoints of groups that the sender, as planner, has recently opened
 * @param endedEndpoints endpoints of groups that the sender, as planner, is dissolving
 * @param demands rates at which callers' requests reach the sender, by model
 * @param crashEvidence what the sender knows about requests that crash upstreams
 * @param limitStatements what the sender knows about limits that upstreams named
 * @param teamDemands rates of callers' requests at the sender, by team and pool
 * @param paceStatements what the sender knows about the levels of upstreams that have just started
 * @param fleet load of all daemons, aggregated by the planner; null from other daemons
 * @param unmetDemands rates of the sender's requests that were refused or late, by model and rank
 * @param drainingEndpoints endpoints of groups that the sender, as planner, dissolves for a planned
 *     reason: they get no new requests, those in progress end there
 */
public record PeerState(
    String name,
    String failureDomain,
    long sequence,
    long term,
    boolean isPlanner,
    boolean isStoreUnreachable,
    boolean isStopping,
    List<StorePosition> positions,
    List<Load> loads,
    List<String> openedEndpoints,
    List<String> endedEndpoints,
    List<Demand> demands,
    CrashEvidence crashEvidence,
    List<LimitStatement> limitStatements,
    List<TeamDemand> teamDemands,
    List<PaceStatement> paceStatements,
    @Nullable FleetLoad fleet,
    List<UnmetDemand> unmetDemands,
    List<String> drainingEndpoints) {

  /**
   * Load of one endpoint.
   *
   * @param endpointHash identifies the endpoint; see {@link #endpointHash}
   */
  public record Load(int endpointHash, int inFlight, boolean isSuspected) {}

  /**
   * Rate of callers' requests for one model.
   *
   * @param modelHash identifies the model; see {@link #modelHash}
   */
  public record Demand(int modelHash, int requestsPerMinute) {}

  /**
   * Rate of requests for one model that were refused for want of a slot or answered late.
   *
   * @param modelHash identifies the model; see {@link #modelHash}
   * @param rank priority, 0 is the highest; below {@link UnmetDemands#RANKS}
   */
  public record UnmetDemand(int modelHash, int rank, int requestsPerMinute) {}

  /**
   * Total load of all daemons, which the planner aggregates and announces, so that the number of
   * datagrams grows linearly with the number of daemons instead of quadratically.
   *
   * @param daemons number of daemons that the planner recently received from, including itself
   * @param demands sums over these daemons, by model
   * @param unmetDemands sums over these daemons, by model and rank
   * @param teamDemands sums over these daemons, by team and pool
   */
  public record FleetLoad(
      int daemons,
      List<Demand> demands,
      List<Load> loads,
      List<UnmetDemand> unmetDemands,
      List<TeamDemand> teamDemands) {

    /** Makes defensive copies of the lists. */
    public FleetLoad {
      demands = List.copyOf(demands);
      loads = List.copyOf(loads);
      unmetDemands = List.copyOf(unmetDemands);
      teamDemands = List.copyOf(teamDemands);
    }

    /** Creates a load without unmet demand and without demands of teams. */
    public FleetLoad(int daemons, List<Demand> demands, List<Load> loads) {
      this(daemons, demands, loads, List.of(), List.of());
    }

    /** Returns this load with the demands of teams. */
    public FleetLoad withTeamDemands(List<TeamDemand> teams) {
      return new FleetLoad(daemons, demands, loads, unmetDemands, teams);
    }
  }

  /** Hash that identifies an endpoint on the wire; a collision only merges two load estimates. */
  public static int endpointHash(String endpointKey) {
    return endpointKey.hashCode();
  }

  /** Hash that identifies a model on the wire; a collision only merges two rates. */
  public static int modelHash(String model) {
    return model.hashCode();
  }

  private static final int NAME = 1;
  private static final int FAILURE_DOMAIN = 2;
  private static final int SEQUENCE = 3;
  private static final int TERM = 4;
  private static final int IS_PLANNER = 5;
  private static final int IS_STOPPING = 6;
  private static final int LOAD = 7;
  private static final int ENDED_ENDPOINT = 8;
  private static final int REVISION = 9;
  private static final int OPENED_ENDPOINT = 10;
  private static final int FLEET_DAEMONS = 11;
  private static final int FLEET_LOAD = 12;
  private static final int IS_STORE_UNREACHABLE = 13;
  private static final int DEMAND = 14;
  private static final int FLEET_DEMAND = 15;
  private static final int INTERRUPTION = 16;
  private static final int ANSWERED_TRAIT = 17;
  private static final int QUARANTINED_TRAIT = 18;
  private static final int LIMIT_STATEMENT = 20;
  private static final int UNMET_DEMAND = 21;
  private static final int FLEET_UNMET_DEMAND = 26;
  private static final int DRAINING_ENDPOINT = 40;

  /** Eras of the revisions, in their order; absent while all of them are 0. */
  private static final int REVISION_ERA = 25;

  private static final int TEAM_DEMAND = 22;
  private static final int FLEET_TEAM_DEMAND = 23;
  private static final int PACE_STATEMENT = 24;
  private static final int DEMAND_MODEL = 1;
  private static final int DEMAND_REQUESTS_PER_MINUTE = 2;
  private static final int UNMET_MODEL = 1;
  private static final int UNMET_RANK = 2;
  private static final int UNMET_REQUESTS_PER_MINUTE = 3;
  private static final int LOAD_ENDPOINT = 1;
  private static final int LOAD_IN_FLIGHT = 2;
  private static final int LOAD_SUSPECTED = 3;
  private static final int LIMIT_INCARNATION = 1;
  private static final int LIMIT_REQUESTS_PER_SECOND = 2;
  private static final int LIMIT_AGE_MS = 3;

  /** Makes defensive copies of the lists. */
  public PeerState {
    positions = List.copyOf(positions);
    loads = List.copyOf(loads);
    openedEndpoints = List.copyOf(openedEndpoints);
    endedEndpoints = List.copyOf(endedEndpoints);
    demands = List.copyOf(demands);
    limitStatements = List.copyOf(limitStatements);
    teamDemands = List.copyOf(teamDemands);
    paceStatements = List.copyOf(paceStatements);
    unmetDemands = List.copyOf(unmetDemands);
    drainingEndpoints = List.copyOf(drainingEndpoints);
  }

  /** Creates a state without unmet demand, demands of teams, levels and draining groups. */
  public PeerState(
      String name,
      String failureDomain,
      long sequence,
      long term,
      boolean isPlanner,
      boolean isStoreUnreachable,
      boolean isStopping,
      List<StorePosition> positions,
      List<Load> loads,
      List<String> openedEndpoints,
      List<String> endedEndpoints,
      List<Demand> demands,
      CrashEvidence crashEvidence,
      List<LimitStatement> limitStatements,
      @Nullable FleetLoad fleet) {
    this(
        name,
        failureDomain,
        sequence,
        term,
        isPlanner,
        isStoreUnreachable,
        isStopping,
        positions,
        loads,
        openedEndpoints,
        endedEndpoints,
        demands,
        crashEvidence,
        limitStatements,
        List.of(),
        List.of(),
        fleet,
        List.of(),
        List.of());
  }

  /** This state without what a receiver learns from the store or from later announcements. */
  PeerState withoutHints() {
    return new PeerState(
        name,
        failureDomain,
        sequence,
        term,
        isPlanner,
        isStoreUnreachable,
        isStopping,
        positions,
        loads,
        List.of(),
        List.of(),
        demands,
        CrashEvidence.NONE,
        List.of(),
        teamDemands,
        List.of(),
        fleet,
        unmetDemands,
        List.of());
  }

  /** Encodes this state as a datagram. */
  public byte[] encode() {
    try {
      ByteArrayOutputStream bytes = new ByteArrayOutputStream(256);
      CodedOutputStream out = CodedOutputStream.newInstance(bytes);
      out.writeString(NAME, name);
      out.writeString(FAILURE_DOMAIN, failureDomain);
      out.writeInt64(SEQUENCE, sequence);
      out.writeInt64(TERM, term);
      out.writeBool(IS_PLANNER, isPlanner);
      out.writeBool(IS_STORE_UNREACHABLE, isStoreUnreachable);
      out.writeBool(IS_STOPPING, isStopping);
      for (Load load : loads) {
        out.writeByteArray(LOAD, encode(load));
      }
      boolean hasEra = positions.stream().anyMatch(position -> position.era() > 0);
      for (StorePosition position : positions) {
        out.writeInt64(REVISION, position.revision());
        if (hasEra) {
          out.writeInt64(REVISION_ERA, position.era());
        }
      }
      for (String opened : openedEndpoints) {
        out.writeString(OPENED_ENDPOINT, opened);
      }
      for (String ended : endedEndpoints) {
        out.writeString(ENDED_ENDPOINT, ended);
      }
      for (Demand demand : demands) {
        out.writeByteArray(DEMAND, encode(demand));
      }
      for (CrashEvidence.Interruption each : crashEvidence.interruptions()) {
        out.writeByteArray(INTERRUPTION, CrashEvidenceCodec.encode(each));
      }
      for (CrashEvidence.Sighting each : crashEvidence.answered()) {
        out.writeByteArray(ANSWERED_TRAIT, CrashEvidenceCodec.encode(each));
      }
      for (CrashEvidence.Sighting each : crashEvidence.quarantined()) {
        out.writeByteArray(QUARANTINED_TRAIT, CrashEvidenceCodec.encode(each));
      }
      for (LimitStatement each : limitStatements) {
        out.writeByteArray(LIMIT_STATEMENT, encode(each));
      }
      for (TeamDemand each : teamDemands) {
        out.writeByteArray(TEAM_DEMAND, ShareCodec.encode(each));
      }
      for (PaceStatement each : paceStatements) {
        out.writeByteArray(PACE_STATEMENT, ShareCodec.encode(each));
      }
      if (fleet != null) {
        out.writeInt32(FLEET_DAEMONS, fleet.daemons());
        for (Demand demand : fleet.demands()) {
          out.writeByteArray(FLEET_DEMAND, encode(demand));
        }
        for (Load load : fleet.loads()) {
          out.writeByteArray(FLEET_LOAD, encode(load));
        }
        for (UnmetDemand unmet : fleet.unmetDemands()) {
          out.writeByteArray(FLEET_UNMET_DEMAND, encode(unmet));
        }
        for (TeamDemand each : fleet.teamDemands()) {
          out.writeByteArray(FLEET_TEAM_DEMAND, ShareCodec.encode(each));
        }
      }
      for (UnmetDemand unmet : unmetDemands) {
        out.writeByteArray(UNMET_DEMAND, encode(unmet));
      }
      for (String draining : drainingEndpoints) {
        out.writeString(DRAINING_ENDPOINT, draining);
      }
      out.flush();
      return bytes.toByteArray();
    } catch (IOException failure) {
      throw new IllegalStateException("writing to memory failed", failure);
    }
  }

  private static byte[] encode(Load load) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream(16);
    CodedOutputStream out = CodedOutputStream.newInstance(bytes);
    out.writeFixed32(LOAD_ENDPOINT, load.endpointHash());
    out.writeInt32(LOAD_IN_FLIGHT, load.inFlight());
    out.writeBool(LOAD_SUSPECTED, load.isSuspected());
    out.flush();
    return bytes.toByteArray();
  }

  private static byte[] encode(Demand demand) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream(16);
    CodedOutputStream out = CodedOutputStream.newInstance(bytes);
    out.writeFixed32(DEMAND_MODEL, demand.modelHash());
    out.writeInt32(DEMAND_REQUESTS_PER_MINUTE, demand.requestsPerMinute());
    out.flush();
    return bytes.toByteArray();
  }

  private static byte[] encode(UnmetDemand unmet) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream(16);
    CodedOutputStream out = CodedOutputStream.newInstance(bytes);
    out.writeFixed32(UNMET_MODEL, unmet.modelHash());
    out.writeInt32(UNMET_RANK, unmet.rank());
    out.writeInt32(UNMET_REQUESTS_PER_MINUTE, unmet.requestsPerMinute());
    out.flush();
    return bytes.toByteArray();
  }

  private static byte[] encode(LimitStatement statement) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream(64);
    CodedOutputStream out = CodedOutputStream.newInstance(bytes);
    out.writeString(LIMIT_INCARNATION, statement.incarnation());
    out.writeDouble(LIMIT_REQUESTS_PER_SECOND, statement.requestsPerSecond());
    out.writeInt64(LIMIT_AGE_MS, statement.ageMs());
    out.flush();
    return bytes.toByteArray();
  }

  /**
   * Decodes a datagram.
   *
   * @throws IOException if the bytes are not a valid message
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
    List<Long> revisionEras = new ArrayList<>();
    List<Demand> demands = new ArrayList<>();
    int fleetDaemons = 0;
    List<Demand> fleetDemands = new ArrayList<>();
    List<Load> fleetLoads = new ArrayList<>();
    List<UnmetDemand> unmetDemands = new ArrayList<>();
    List<UnmetDemand> fleetUnmetDemands = new ArrayList<>();
    List<String> drainingEndpoints = new ArrayList<>();
    List<CrashEvidence.Interruption> interruptions = new ArrayList<>();
    List<CrashEvidence.Sighting> answered = new ArrayList<>();
    List<CrashEvidence.Sighting> quarantined = new ArrayList<>();
    List<LimitStatement> limitStatements = new ArrayList<>();
    List<TeamDemand> teamDemands = new ArrayList<>();
    List<TeamDemand> fleetTeamDemands = new ArrayList<>();
    List<PaceStatement> paceStatements = new ArrayList<>();
    for (int tag = in.readTag(); tag != 0; tag = in.readTag()) {
      switch (WireFormat.getTagFieldNumber(tag)) {
        case NAME -> name = in.readString();
        case FAILURE_DOMAIN -> failureDomain = in.readString();
        case SEQUENCE -> sequence = in.readInt64();
        case TERM -> term = in.readInt64();
        case IS_PLANNER -> isPlanner = in.readBool();
        case IS_STORE_UNREACHABLE -> isStoreUnreachable = in.readBool();
        case IS_STOPPING -> isStopping = in.readBool();
        case LOAD -> loads.add(decodeLoad(in.readByteArray()));
        case REVISION -> revisions.add(in.readInt64());
        case REVISION_ERA -> revisionEras.add(in.readInt64());
        case OPENED_ENDPOINT -> openedEndpoints.add(in.readString());
        case ENDED_ENDPOINT -> endedEndpoints.add(in.readString());
        case DEMAND -> demands.add(decodeDemand(in.readByteArray()));
        case FLEET_DAEMONS -> fleetDaemons = in.readInt32();
        case FLEET_DEMAND -> fleetDemands.add(decodeDemand(in.readByteArray()));
        case FLEET_LOAD -> fleetLoads.add(decodeLoad(in.readByteArray()));
        case UNMET_DEMAND -> unmetDemands.add(decodeUnmetDemand(in.readByteArray()));
        case FLEET_UNMET_DEMAND -> fleetUnmetDemands.add(decodeUnmetDemand(in.readByteArray()));
        case DRAINING_ENDPOINT -> drainingEndpoints.add(in.readString());
        case INTERRUPTION ->
            interruptions.add(CrashEvidenceCodec.decodeInterruption(in.readByteArray()));
        case ANSWERED_TRAIT -> answered.add(CrashEvidenceCodec.decodeSighting(in.readByteArray()));
        case QUARANTINED_TRAIT ->
            quarantined.add(CrashEvidenceCodec.decodeSighting(in.readByteArray()));
        case LIMIT_STATEMENT -> limitStatements.add(decodeLimitStatement(in.readByteArray()));
        case TEAM_DEMAND -> teamDemands.add(ShareCodec.decodeTeamDemand(in.readByteArray()));
        case FLEET_TEAM_DEMAND ->
            fleetTeamDemands.add(ShareCodec.decodeTeamDemand(in.readByteArray()));
        case PACE_STATEMENT ->
            paceStatements.add(ShareCodec.decodePaceStatement(in.readByteArray()));
        default -> in.skipField(tag);
      }
    }
    if (name.isEmpty()) {
      throw new IOException("peer state without a daemon name");
    }
    return new PeerState(
        name,
        failureDomain,
        sequence,
        term,
        isPlanner,
        isStoreUnreachable,
        isStopping,
        positions(revisions, revisionEras),
        loads,
        openedEndpoints,
        endedEndpoints,
        demands,
        new CrashEvidence(interruptions, answered, quarantined),
        limitStatements,
        teamDemands,
        paceStatements,
        fleetDaemons > 0
            ? new FleetLoad(
                fleetDaemons, fleetDemands, fleetLoads, fleetUnmetDemands, fleetTeamDemands)
            : null,
        unmetDemands,
        drainingEndpoints);
  }

  private static UnmetDemand decodeUnmetDemand(byte[] bytes) throws IOException {
    CodedInputStream in = CodedInputStream.newInstance(bytes);
    int modelHash = 0;
    int rank = 0;
    int requestsPerMinute = 0;
    for (int tag = in.readTag(); tag != 0; tag = in.readTag()) {
      switch (WireFormat.getTagFieldNumber(tag)) {
        case UNMET_MODEL -> modelHash = in.readFixed32();
        case UNMET_RANK -> rank = in.readInt32();
        case UNMET_REQUESTS_PER_MINUTE -> requestsPerMinute = in.readInt32();
        default -> in.skipField(tag);
      }
    }
    return new UnmetDemand(
        modelHash,
        Math.min(UnmetDemands.RANKS - 1, Math.max(0, rank)),
        Math.max(0, requestsPerMinute));
  }

  private static List<StorePosition> positions(List<Long> revisions, List<Long> eras) {
    List<StorePosition> positions = new ArrayList<>(revisions.size());
    for (int i = 0; i < revisions.size(); i++) {
      positions.add(new StorePosition(i < eras.size() ? eras.get(i) : 0, revisions.get(i)));
    }
    return positions;
  }

  private static Load decodeLoad(byte[] bytes) throws IOException {
    CodedInputStream in = CodedInputStream.newInstance(bytes);
    int endpointHash = 0;
    int inFlight = 0;
    boolean isSuspected = false;
    for (int tag = in.readTag(); tag != 0; tag = in.readTag()) {
      switch (WireFormat.getTagFieldNumber(tag)) {
        case LOAD_ENDPOINT -> endpointHash = in.readFixed32();
        case LOAD_IN_FLIGHT -> inFlight = in.readInt32();
        case LOAD_SUSPECTED -> isSuspected = in.readBool();
        default -> in.skipField(tag);
      }
    }
    return new Load(endpointHash, Math.max(0, inFlight), isSuspected);
  }

  private static LimitStatement decodeLimitStatement(byte[] bytes) throws IOException {
    CodedInputStream in = CodedInputStream.newInstance(bytes);
    String incarnation = "";
    double requestsPerSecond = Double.NaN;
    long ageMs = 0;
    for (int tag = in.readTag(); tag != 0; tag = in.readTag()) {
      switch (WireFormat.getTagFieldNumber(tag)) {
        case LIMIT_INCARNATION -> incarnation = in.readString();
        case LIMIT_REQUESTS_PER_SECOND -> requestsPerSecond = in.readDouble();
        case LIMIT_AGE_MS -> ageMs = in.readInt64();
        default -> in.skipField(tag);
      }
    }
    if (!(requestsPerSecond >= 0)) {
      throw new IOException("limit statement without a rate");
    }
    return new LimitStatement(incarnation, requestsPerSecond, Math.max(0, ageMs));
  }

  private static Demand decodeDemand(byte[] bytes) throws IOException {
    CodedInputStream in = CodedInputStream.newInstance(bytes);
    int modelHash = 0;
    int requestsPerMinute = 0;
    for (int tag = in.readTag(); tag != 0; tag = in.readTag()) {
      switch (WireFormat.getTagFieldNumber(tag)) {
        case DEMAND_MODEL -> modelHash = in.readFixed32();
        case DEMAND_REQUESTS_PER_MINUTE -> requestsPerMinute = in.readInt32();
        default -> in.skipField(tag);
      }
    }
    return new Demand(modelHash, Math.max(0, requestsPerMinute));
  }
}
