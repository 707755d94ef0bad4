/** Tests of TLS towards callers. */
@NullMarked
package org.limpetring.daemon.tls;

import org.jspecify.annotations.NullMarked;
