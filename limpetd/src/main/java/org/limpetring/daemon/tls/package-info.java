/** TLS towards callers, from PEM files that may change while the daemon runs. */
@NullMarked
package org.limpetring.daemon.tls;

import org.jspecify.annotations.NullMarked;
