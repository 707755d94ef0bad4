/** Tests of platform calls carried by peers. */
@NullMarked
package org.limpetring.peer.relay;

import org.jspecify.annotations.NullMarked;
