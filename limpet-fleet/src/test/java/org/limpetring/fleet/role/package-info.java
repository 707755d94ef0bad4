/** Proof that exclusive roles are held once while rosters change. */
@NullMarked
package org.limpetring.fleet.role;

import org.jspecify.annotations.NullMarked;
