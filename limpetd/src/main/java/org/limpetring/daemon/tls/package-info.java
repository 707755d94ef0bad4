/** TLS for callers, with PEM files that are reloaded while the daemon runs. */
@NullMarked
package org.limpetring.daemon.tls;

import org.jspecify.annotations.NullMarked;
