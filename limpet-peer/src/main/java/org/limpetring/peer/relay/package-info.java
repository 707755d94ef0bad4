/** Platform calls that a peer relays for a daemon that cannot reach the platform. */
@NullMarked
package org.limpetring.peer.relay;

import org.jspecify.annotations.NullMarked;
