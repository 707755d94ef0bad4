/** Guice modules that show how the daemon is put together. */
@NullMarked
package org.limpetring.daemon.wiring;

import org.jspecify.annotations.NullMarked;
