/** Combines this library's state machines into one daemon and runs them on threads. */
@NullMarked
package org.limpetring.fleet.node;

import org.jspecify.annotations.NullMarked;
