/** Tests of the daemon's settings. */
@NullMarked
package org.limpetring.daemon.settings;

import org.jspecify.annotations.NullMarked;
