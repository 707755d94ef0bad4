/** The stored roster with its recent history, and the decisions to change it. */
@NullMarked
package org.limpetring.fleet.roster;

import org.jspecify.annotations.NullMarked;
