/** The daemon's entry point and its graceful shutdown. */
@NullMarked
package org.limpetring.daemon;

import org.jspecify.annotations.NullMarked;
