/** Interface to callers: identity, request bodies, answers and errors. */
@NullMarked
package org.limpetring.daemon.caller;

import org.jspecify.annotations.NullMarked;
