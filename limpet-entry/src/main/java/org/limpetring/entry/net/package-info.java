/** HTTP server and client connections on the event loop. */
@NullMarked
package org.limpetring.entry.net;

import org.jspecify.annotations.NullMarked;
