/** Failure detection between daemons. */
@NullMarked
package org.limpetring.fleet.membership;

import org.jspecify.annotations.NullMarked;
