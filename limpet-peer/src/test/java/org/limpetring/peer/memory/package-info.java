/** Tests of the network in memory. */
@NullMarked
package org.limpetring.peer.memory;

import org.jspecify.annotations.NullMarked;
