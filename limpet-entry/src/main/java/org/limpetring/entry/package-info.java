/** The daemon on an entry host: one event loop that owns all sockets and all state. */
@NullMarked
package org.limpetring.entry;

import org.jspecify.annotations.NullMarked;
