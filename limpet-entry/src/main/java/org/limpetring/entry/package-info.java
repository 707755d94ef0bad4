/** The entry host's daemon: a single event loop owns all sockets and all state. */
@NullMarked
package org.limpetring.entry;

import org.jspecify.annotations.NullMarked;
