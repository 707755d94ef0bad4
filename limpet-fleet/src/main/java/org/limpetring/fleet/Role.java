package org.limpetring.fleet;

import java.util.Collection;
import java.util.List;
import org.limpetring.base.DaemonId;
import org.limpetring.base.FabricDomain;
import org.limpetring.base.GroupId;
import org.limpetring.base.HostId;
import org.limpetring.base.Rendezvous;

/**
 * Duty assigned to daemons of the roster by rendezvous hashing, which needs no platform call.
 *
 * @param kind type of duty
 * @param subject object of the duty: a fabric domain, host, group or claim shard
 */
public record Role(Kind kind, String subject) {

  /** Type of duty and the number of daemons that hold it at the same time. */
  public enum Kind {
    /** Plans the groups of one fabric domain; a second holder only causes a write conflict. */
    PLANNER(1, false),
    /** Probes the group members on one host; the second holder confirms a loss. */
    OBSERVER(2, false),
    /** May send requests to one cold group; the holders share its budget. */
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

    /** Number of daemons that hold such a role in one epoch. */
    public int holders() {
      return holders;
    }

    /** Whether holders from two different epochs must never act at the same time. */
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

  /** The holders in {@code roster}, highest rank first. */
  public List<DaemonId> holders(Roster roster) {
    return holders(roster.ids());
  }

  /** The holders among {@code daemons}, highest rank first. */
  public List<DaemonId> holders(Collection<DaemonId> daemons) {
    return ranked(daemons, kind.holders());
  }

  /** The {@code count} highest-ranked candidates among {@code daemons}, in order of rank. */
  public List<DaemonId> ranked(Collection<DaemonId> daemons, int count) {
    return Rendezvous.owners(kind + "/" + subject, daemons, count);
  }
}
