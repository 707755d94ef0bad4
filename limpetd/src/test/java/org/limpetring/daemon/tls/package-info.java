/** Tests of TLS for callers. */
@NullMarked
package org.limpetring.daemon.tls;

import org.jspecify.annotations.NullMarked;
