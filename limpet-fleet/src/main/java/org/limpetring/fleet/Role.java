package org.limpetring.fleet;

import java.util.Collection;
import java.util.List;
import org.limpetring.base.DaemonId;
import org.limpetring.base.FabricDomain;
import org.limpetring.base.GroupId;
import org.limpetring.base.HostId;
import org.limpetring.base.Rendezvous;

/**
 * Duty that the roster assigns by rendezvous hashing, so that it costs the platform nothing.
 *
 * @param kind what the holder does
 * @param subject what it does it for
 */
public record Role(Kind kind, String subject) {

  /** Kind of duty and how many daemons hold it at once. */
  public enum Kind {
    /** Plans the groups of one fabric domain; a doubled holder costs a write conflict. */
    PLANNER(1, false),
    /** Probes the members of groups on one host; a second confirms a loss. */
    OBSERVER(2, false),
    /** May send work to one cold group; the budget is split between the holders. */
    COLD_SENDER(2, true),
    /** Writes the claims of one shard. */
    CLAIM_OWNER(1, true),
    /** Joins the tables into the accepted configuration. */
    ACCEPTOR(1, false);

    private final int holders;
    private final boolean exclusive;

    Kind(int holders, boolean exclusive) {
      this.holders = holders;
      this.exclusive = exclusive;
    }

    /** Daemons that hold such a role at one epoch. */
    public int holders() {
      return holders;
    }

    /** Whether holders of two epochs must never act at the same time. */
    public boolean isExclusive() {
      return exclusive;
    }
  }

  /** Role of planning one fabric domain. */
  public static Role planner(FabricDomain domain) {
    return new Role(Kind.PLANNER, domain.value());
  }

  /** Role of observing one host. */
  public static Role observer(HostId host) {
    return new Role(Kind.OBSERVER, host.value());
  }

  /** Role of sending to one cold group. */
  public static Role coldSender(GroupId group) {
    return new Role(Kind.COLD_SENDER, group.value());
  }

  /** Role of writing one claim shard. */
  public static Role claimOwner(int shard) {
    return new Role(Kind.CLAIM_OWNER, Integer.toString(shard));
  }

  /** Role of joining the tables. */
  public static Role acceptor() {
    return new Role(Kind.ACCEPTOR, "accepted");
  }

  /** The holders under {@code roster}, strongest first. */
  public List<DaemonId> holders(Roster roster) {
    return holders(roster.ids());
  }

  /** The holders among {@code daemons}, strongest first. */
  public List<DaemonId> holders(Collection<DaemonId> daemons) {
    return ranked(daemons, kind.holders());
  }

  /** The first {@code count} candidates among {@code daemons}, strongest first. */
  public List<DaemonId> ranked(Collection<DaemonId> daemons, int count) {
    return Rendezvous.owners(kind + "/" + subject, daemons, count);
  }
}
