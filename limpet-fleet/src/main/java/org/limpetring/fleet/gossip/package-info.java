/** Gossip of versioned topics between daemons: notices, pulls and anti-entropy. */
@NullMarked
package org.limpetring.fleet.gossip;

import org.jspecify.annotations.NullMarked;
