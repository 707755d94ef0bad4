/** Quorum leases that decide which daemon may act in an exclusive role while the roster changes. */
@NullMarked
package org.limpetring.fleet.role;

import org.jspecify.annotations.NullMarked;
