/** Tests of the caller interface with failing upstreams. */
@NullMarked
package org.limpetring.daemon.caller;

import org.jspecify.annotations.NullMarked;
