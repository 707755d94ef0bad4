/** Tests of the roster and of its changes. */
@NullMarked
package org.limpetring.fleet.roster;

import org.jspecify.annotations.NullMarked;
