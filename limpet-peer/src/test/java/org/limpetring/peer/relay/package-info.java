/** Tests of platform calls relayed by peers. */
@NullMarked
package org.limpetring.peer.relay;

import org.jspecify.annotations.NullMarked;
