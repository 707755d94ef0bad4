/** Interface to callers: authentication, request bodies, responses and errors. */
@NullMarked
package org.limpetring.daemon.caller;

import org.jspecify.annotations.NullMarked;
