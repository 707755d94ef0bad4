/** The daemon: wiring, caller interface and operator interface. */
@NullMarked
package org.limpetring.daemon;

import org.jspecify.annotations.NullMarked;
