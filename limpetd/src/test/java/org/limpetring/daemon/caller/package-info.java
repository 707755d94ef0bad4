/** Tests of the caller interface with upstreams that fail. */
@NullMarked
package org.limpetring.daemon.caller;

import org.jspecify.annotations.NullMarked;
