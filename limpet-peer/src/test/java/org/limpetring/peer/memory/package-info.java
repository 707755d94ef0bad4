/** Tests of the in-memory network. */
@NullMarked
package org.limpetring.peer.memory;

import org.jspecify.annotations.NullMarked;
