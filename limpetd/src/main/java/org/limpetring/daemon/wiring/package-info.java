/** Guice modules of the daemon and the adapters between its parts. */
@NullMarked
package org.limpetring.daemon.wiring;

import org.jspecify.annotations.NullMarked;
