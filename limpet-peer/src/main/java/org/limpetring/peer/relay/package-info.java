/** Calls to the platform that a peer carries for a daemon which cannot reach it. */
@NullMarked
package org.limpetring.peer.relay;

import org.jspecify.annotations.NullMarked;
