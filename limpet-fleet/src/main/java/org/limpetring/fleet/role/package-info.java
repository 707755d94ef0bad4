/** Which daemon may act in an exclusive role while rosters change. */
@NullMarked
package org.limpetring.fleet.role;

import org.jspecify.annotations.NullMarked;
