/** Tests of the daemon's wiring. */
@NullMarked
package org.limpetring.daemon.wiring;

import org.jspecify.annotations.NullMarked;
