/** Roster of daemons, the roles computed from it, membership and freshness. */
@NullMarked
package org.limpetring.fleet;

import org.jspecify.annotations.NullMarked;
