/** Messages between daemons over Netty and protobuf. */
@NullMarked
package org.limpetring.peer;

import org.jspecify.annotations.NullMarked;
