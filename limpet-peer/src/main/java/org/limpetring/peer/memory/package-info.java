/** In-memory transports with simulated partitions, loss and delay, driven by a manual clock. */
@NullMarked
package org.limpetring.peer.memory;

import org.jspecify.annotations.NullMarked;
