/** Settings of the daemon, read from JSON with comments and checked at start. */
@NullMarked
package org.limpetring.daemon.settings;

import org.jspecify.annotations.NullMarked;
