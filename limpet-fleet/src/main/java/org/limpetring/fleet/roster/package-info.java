/** The stored roster with its recent changes, and the state machine that updates it. */
@NullMarked
package org.limpetring.fleet.roster;

import org.jspecify.annotations.NullMarked;
