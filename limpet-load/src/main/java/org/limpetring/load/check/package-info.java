/** Checks of the guarantees from outside of the system. */
@NullMarked
package org.limpetring.load.check;

import org.jspecify.annotations.NullMarked;
